#pragma once
/// @file
/// Reads the list of replicas from another gateway (a source) if the coordinators name one,
/// otherwise from the platform, and serves the list to other gateways. The first gateway of a zone
/// reads from the first gateways of other zones, and the others read from gateways of their own
/// zone. So only one gateway reads from the platform instead of all, and each list is sent to each
/// zone once.
///
/// The gateways have a global order, and the coordinators name only sources that precede a gateway
/// in it, so that no two gateways read from each other for longer than a heartbeat. A source that
/// fails is skipped for a while; a gateway whose sources all fail reads from the platform itself.
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_client/list_source.h"
#include "proto/gateway.pb.h"
#include "replicas/replica_list_reader.h"
#include "runtime/environment.h"

namespace cloverbank {

class SharedListReader final : public ReplicaListReader {
 public:
  /// @return the current sources in order of preference; nothing until the coordinators have named
  /// them.
  using Sources = std::function<std::optional<std::vector<ListSource>>()>;

  SharedListReader(Environment& environment, Sources sources,
                   std::unique_ptr<ReplicaListReader> platform);
  ~SharedListReader() override;
  SharedListReader(const SharedListReader&) = delete;
  SharedListReader& operator=(const SharedListReader&) = delete;

  /// @param deadline of a call to the platform; a long poll at a source may take longer.
  void Read(Duration deadline, std::function<void(ListReadResult)> done) override;
  void Accepted() override;

 private:
  using Reply = std::function<void(Result<proto::GetReplicaListResponse>)>;
  /// A long poll of another gateway that waits for the next list.
  struct PendingRequest {
    std::uint64_t known_id = 0;  ///< Id of the list that the other gateway holds; 0: none.
    TimePoint arrival{};
    TimerId timer = 0;
    Reply reply;
  };
  using PendingList = std::list<PendingRequest>;

  /// Reads from a source once the coordinators have named the sources, or from the platform if that
  /// takes too long.
  void WaitForSources();
  void RequestFromSource();
  /// @return the most preferred source that is not skipped because it failed.
  std::optional<ListSource> NextSource() const;
  /// @return how long a request may wait at the source for a new list.
  Duration LongPollTimeAt(const ListSource& source) const;
  void OnResponse(TimePoint sent, const Result<proto::GetReplicaListResponse>& response);
  void HandleResponse(TimePoint sent, const proto::GetReplicaListResponse& response);
  void ReadPlatform();
  void HandlePlatformResult(TimePoint sent, ListReadResult result);
  void Finish(ListReadResult result);

  /// Serves the current list to other gateways; the platform showed it at `read_at` or later.
  void Publish(TimePoint read_at);
  /// Responds to all pending long polls.
  void RespondToPending();
  /// Handles a request of another gateway. @param address IP address of that gateway.
  void Serve(const proto::GetReplicaListRequest& request, const std::string& address, Reply reply);
  void Respond(const PendingRequest& pending) const;
  /// Whether the current list was read recently enough to serve it at once.
  bool IsRecent() const;

  Environment& environment_;
  Sources sources_;
  std::unique_ptr<ReplicaListReader> platform_;

  std::function<void(ListReadResult)> done_;
  Duration deadline_{};
  std::optional<Endpoint> pending_source_;  ///< The source whose response is pending.
  bool long_polling_ = false;  ///< The request waits for a newer list than the current one.
  Duration waited_for_sources_{};
  TimerId timer_ = 0;
  std::map<Endpoint, TimePoint> backoff_until_;  ///< Failed sources are skipped until then.

  /// The last list read, until `Accepted` is called.
  proto::ReplicaList candidate_;
  TimePoint candidate_read_at_{};
  bool candidate_from_platform_ = false;
  /// The current list, which is served to others; `list_id_` is 0 while there is none.
  proto::ReplicaList list_;
  std::uint64_t list_id_ = 0;
  TimePoint read_at_{};
  bool failing_ = false;       ///< The last attempt to read from the platform failed.
  std::uint64_t version_ = 0;  ///< Of the last list read; counted by this reader.
  PendingList pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

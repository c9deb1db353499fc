#pragma once
/// @file
/// Reads the list of replicas from another gateway where the coordinators name one, and from the
/// platform otherwise, and serves it to other gateways. The first gateway of a zone reads from
/// first gateways of other zones, the others read within their zone: so the platform is read by one
/// gateway instead of all, and a list crosses the border of each zone once.
///
/// The coordinators name a gateway's sources in a global order and only those that precede it, so
/// that no two gateways read from each other for longer than a heartbeat. A source that fails is
/// skipped for a while; a gateway whose sources all fail reads the platform itself. Threads: the
/// owner's event loop only.

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
  /// @return the sources in order of preference; nothing before the coordinators have named them.
  using Sources = std::function<std::optional<std::vector<ListSource>>()>;

  SharedListReader(Environment& environment, Sources sources,
                   std::unique_ptr<ReplicaListReader> platform);
  ~SharedListReader() override;
  SharedListReader(const SharedListReader&) = delete;
  SharedListReader& operator=(const SharedListReader&) = delete;

  /// @param deadline of a call to the platform; a long poll of a source may take longer.
  void Read(Duration deadline, std::function<void(ListReading)> done) override;
  void Accepted() override;

 private:
  using Reply = std::function<void(Result<proto::GetReplicaListResponse>)>;
  /// A long poll of another gateway that waits for the next reading.
  struct PendingRequest {
    std::uint64_t known_id = 0;
    TimePoint arrival{};
    TimerId timer = 0;
    Reply reply;
  };
  using PendingList = std::list<PendingRequest>;

  void WaitForSources();
  void RequestFromSource();
  std::optional<ListSource> NextSource() const;
  /// @return how long a long poll may wait at the source.
  Duration LongPollTimeAt(const ListSource& source) const;
  void OnResponse(TimePoint sent, const Result<proto::GetReplicaListResponse>& response);
  void HandleResponse(TimePoint sent, const proto::GetReplicaListResponse& response);
  void ReadPlatform();
  void HandlePlatformReading(TimePoint sent, ListReading reading);
  void Finish(ListReading reading);

  /// Makes the current list available; the platform showed it at `read_at` or later.
  void Publish(TimePoint read_at);
  void RespondToPending();
  /// @param address IP address of the requesting gateway.
  void Serve(const proto::GetReplicaListRequest& request, const std::string& address, Reply reply);
  void Respond(const PendingRequest& pending) const;
  bool IsRecent() const;

  Environment& environment_;
  Sources sources_;
  std::unique_ptr<ReplicaListReader> platform_;

  std::function<void(ListReading)> done_;
  Duration deadline_{};
  std::optional<Endpoint> pending_source_;  ///< The source whose response is outstanding.
  bool long_polling_ = false;               ///< The outstanding request is a long poll.
  Duration waited_for_sources_{};
  TimerId timer_ = 0;
  std::map<Endpoint, TimePoint> backoff_until_;

  /// The last list read, until the directory has accepted it.
  proto::ReplicaList candidate_;
  TimePoint candidate_read_at_{};
  bool candidate_from_platform_ = false;
  /// The list served to others; `id_` is 0 while there is none.
  proto::ReplicaList list_;
  std::uint64_t list_id_ = 0;
  TimePoint read_at_{};
  bool failing_ = false;  ///< The last attempt failed.
  std::uint64_t version_ = 0;
  PendingList pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

#pragma once
/// @file
/// Reads the list of replicas from another gateway where the coordinators name one, and from the
/// platform otherwise, and hands what was read on to gateways that ask. A zone's first gateway asks
/// first ones of other zones, the others ask within their zone: so the platform gets one call in
/// place of one a gateway, and a list crosses each zone's border once.
///
/// The coordinators name a gateway's sources in an order that all gateways agree on, and only such
/// that precede it, so that no two ask each other for longer than a heartbeat. A
/// source that fails is passed over for a while; a gateway whose sources all fail reads the
/// platform itself, whatever control does. Threads: the owner's event loop only.

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
  /// @return the gateways to ask, the first one first; nothing while the coordinators have not
  /// told.
  using Sources = std::function<std::optional<std::vector<ListSource>>()>;

  SharedListReader(Environment& environment, Sources sources,
                   std::unique_ptr<ReplicaListReader> platform);
  ~SharedListReader() override;
  SharedListReader(const SharedListReader&) = delete;
  SharedListReader& operator=(const SharedListReader&) = delete;

  /// @param deadline of a call to the platform; a source may hold a call back for longer.
  void Read(Duration deadline, std::function<void(ListReading)> done) override;
  void Accepted() override;

 private:
  using Reply = std::function<void(Result<proto::GetReplicaListResponse>)>;
  /// A gateway's call that waits for the next reading.
  struct PendingRequest {
    std::uint64_t known = 0;
    TimePoint arrival{};
    TimerId timer = 0;
    Reply reply;
  };
  using PendingList = std::list<PendingRequest>;

  void WaitForSources();
  void RequestFromSource();
  std::optional<ListSource> NextSource() const;
  /// @return how long the call may wait at the source for its next reading.
  Duration HoldAt(const ListSource& source) const;
  void OnAnswer(TimePoint sent, const Result<proto::GetReplicaListResponse>& answer);
  void HandleAnswer(TimePoint sent, const proto::GetReplicaListResponse& answer);
  void ReadPlatform();
  void HandlePlatformReading(TimePoint sent, ListReading reading);
  void Finish(ListReading reading);

  /// The list held is what the platform showed at `read_at` or later.
  void Publish(TimePoint read_at);
  void AnswerPending();
  /// @param address IP number of the asking gateway.
  void Serve(const proto::GetReplicaListRequest& request, const std::string& address, Reply reply);
  void Answer(const PendingRequest& pending) const;
  bool Recent() const;

  Environment& environment_;
  Sources sources_;
  std::unique_ptr<ReplicaListReader> platform_;

  std::function<void(ListReading)> done_;
  Duration deadline_{};
  std::optional<Endpoint> asked_;  ///< The source that has not answered yet.
  bool awaits_ = false;            ///< It was asked to wait for its next reading.
  Duration waited_for_sources_{};
  TimerId timer_ = 0;
  std::map<Endpoint, TimePoint> passed_over_until_;

  /// The list read last, until it is known whether it can be used.
  proto::ReplicaList candidate_;
  TimePoint candidate_read_at_{};
  bool candidate_from_platform_ = false;
  /// The list that others may have; `id_` is 0 while there is none.
  proto::ReplicaList list_;
  std::uint64_t id_ = 0;
  TimePoint read_at_{};
  bool failing_ = false;  ///< The last try brought no list.
  std::uint64_t version_ = 0;
  PendingList pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

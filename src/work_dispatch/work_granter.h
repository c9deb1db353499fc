#pragma once
/// @file
/// Answers AcquireWork requests of gateways with items under leases. A request is pending until
/// there are items for its free slots. An item that must not repeat is logged as started before its
/// grant is sent.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "work_dispatch/work_leases.h"
#include "work_dispatch/work_queue.h"

namespace cloverbank {

class WorkGranter : public std::enable_shared_from_this<WorkGranter> {
 public:
  using Reply = std::function<void(Result<proto::AcquireWorkResponse>)>;

  WorkGranter(Environment& environment, NodeAgent& agent, std::shared_ptr<WorkQueue> queue,
              std::shared_ptr<WorkLeases> leases);

  /// Answers with grants as soon as there are any, or without grants after the request's hold time.
  void Acquire(const proto::AcquireWorkRequest& request, Reply reply);
  /// Grants waiting items to pending requests; call it when either may have changed.
  void ServePending();
  /// Fails all pending requests with kUnavailable.
  void Shutdown();

 private:
  /// A pending AcquireWork (long poll).
  struct PendingAcquire {
    proto::AcquireWorkRequest request;
    TimePoint arrived;
    Reply reply;
    TimerId timer = 0;
  };
  /// Grants whose starts are being logged.
  struct PendingGrants {
    PendingAcquire acquire;
    std::vector<WorkItemKey> items;
    std::size_t pending_logs = 0;
  };
  using PendingGrantsPtr = std::shared_ptr<PendingGrants>;
  using StartEntries = std::map<PartitionId, std::vector<proto::LogEntry>>;

  /// Answers some stale requests without grants, so that their gateways send new ones.
  void WakeStaleRequests();
  /// Does so for stale requests of this zone, or of others, until their slots reach `wanted`.
  /// @return the slots, `capacity` included.
  std::size_t WakeStaleInZone(bool own_zone, std::size_t slots, std::size_t wanted_slots);
  bool IsFresh(const PendingAcquire& pending) const;
  /// @return the slots of the request for which items are waiting.
  std::size_t CountUsableSlots(const proto::AcquireWorkRequest& request) const;
  void AnswerEmpty(std::list<PendingAcquire>::iterator pending);
  /// Picks and leases items for the request; adds the ItemStarted entries to log first to `starts`.
  std::vector<WorkItemKey> SelectItems(const proto::AcquireWorkRequest& request,
                                       StartEntries* starts);
  bool LeaseItem(const WorkItemKey& item, const proto::AcquireWorkRequest& request,
                 StartEntries* starts);
  void LogStarts(const PendingGrantsPtr& grants, StartEntries* starts);
  void HandleStartsLogged(const PendingGrantsPtr& grants, PartitionId partition,
                          const Status& status);
  void SendGrants(const PendingGrantsPtr& grants);
  bool CanGrant(const WorkItemKey& item) const;
  proto::WorkGrant MakeGrant(const WorkItemKey& item, Duration time_pending) const;

  Environment& environment_;
  NodeAgent& agent_;
  std::shared_ptr<WorkQueue> queue_;
  std::shared_ptr<WorkLeases> leases_;
  std::list<PendingAcquire> pending_;
  TimePoint next_wake_{};  ///< Woken gateways have until then to send new requests.
  bool wake_scheduled_ = false;
};

}  // namespace cloverbank

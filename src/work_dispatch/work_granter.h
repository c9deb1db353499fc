#pragma once
/// @file
/// Answers AcquireWork requests of gateways with grants of items under leases. A request is pending
/// until items wait for its free slots. An item that is not idempotent is logged as started before
/// its grant is sent.
///
/// Threads: the owner's event loop only. Created by `std::make_shared`.

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

  /// `reply` gets grants as soon as items wait for the request's free slots. It gets a response
  /// without grants after the request's hold time (5 s at most), or earlier if the request is stale
  /// when items arrive. It gets kUnavailable after `Shutdown`.
  void Acquire(const proto::AcquireWorkRequest& request, Reply reply);
  /// Grants waiting items to pending requests. Call it when either may have changed.
  void ServePending();
  /// Fails all pending requests with kUnavailable.
  void Shutdown();

 private:
  /// A pending AcquireWork request (long poll).
  struct PendingAcquire {
    proto::AcquireWorkRequest request;
    TimePoint arrived;
    Reply reply;
    TimerId timer = 0;
  };
  /// Grants that are sent once the starts of their items are logged.
  struct PendingGrants {
    PendingAcquire acquire;
    std::vector<WorkItemKey> items;
    std::size_t pending_logs = 0;  ///< Partitions whose entries are being logged.
  };
  using PendingGrantsPtr = std::shared_ptr<PendingGrants>;
  using StartEntries = std::map<PartitionId, std::vector<proto::LogEntry>>;

  /// Answers some stale requests without grants, so that their gateways send new ones; requests
  /// from this node's zone first.
  void WakeStaleRequests();
  /// Does so for stale requests from this node's zone (`own_zone`), or from all other zones, until
  /// the slots of woken requests reach `wanted_slots`.
  /// @param slots the slots of requests woken before.
  /// @return the slots of all woken requests, `slots` included.
  std::size_t WakeStaleInZone(bool own_zone, std::size_t slots, std::size_t wanted_slots);
  bool IsFresh(const PendingAcquire& pending) const;
  /// @return the request's slots at back ends for which items are waiting.
  std::size_t CountUsableSlots(const proto::AcquireWorkRequest& request) const;
  /// Answers the request without grants and removes it from `pending_`.
  void AnswerEmpty(std::list<PendingAcquire>::iterator pending);
  /// Picks items for the request and grants leases on them. Adds to `starts` the ItemStarted
  /// entries that must be logged before the grants are sent.
  std::vector<WorkItemKey> SelectItems(const proto::AcquireWorkRequest& request,
                                       StartEntries* starts);
  /// Grants a lease on the item. @return false if the item must not be granted (any more).
  bool LeaseItem(const WorkItemKey& item, const proto::AcquireWorkRequest& request,
                 StartEntries* starts);
  /// Logs `starts`, then sends the grants.
  void LogStarts(const PendingGrantsPtr& grants, StartEntries* starts);
  void HandleStartsLogged(const PendingGrantsPtr& grants, PartitionId partition,
                          const Status& status);
  void SendGrants(const PendingGrantsPtr& grants);
  /// @return whether the item may be granted now.
  bool CanGrant(const WorkItemKey& item) const;
  /// @param time_pending how long the request was pending at this node.
  proto::WorkGrant MakeGrant(const WorkItemKey& item, Duration time_pending) const;

  Environment& environment_;
  NodeAgent& agent_;
  std::shared_ptr<WorkQueue> queue_;
  std::shared_ptr<WorkLeases> leases_;
  std::list<PendingAcquire> pending_;
  /// No request is woken before then: gateways woken last have until then to send new requests.
  TimePoint next_wake_{};
  bool wake_scheduled_ = false;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Runs batch items in the room that live work leaves: asks the queue nodes for work, starts
/// granted items while every right to do so holds, renews the leases of running ones and hands in
/// results until an owner of the partition has answered. Decisions are made in `WorkItemTable`
/// and `AcquirePlanner`.
///
/// A grant's time to start counts from when the question for work was *sent*, so a worker that
/// froze finds old grants void. Threads: the owner's event loop only.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch_work/acquire_planner.h"
#include "batch_work/queue_node_call.h"
#include "batch_work/work_item_table.h"
#include "batch_work/work_reporter.h"
#include "calls/backend_caller.h"
#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

struct BatchWorkerOptions {
  WorkItemTableLimits limits;
  AcquirePlannerOptions acquire;
  Duration run_interval = milliseconds(50);
  Duration renewal_interval = milliseconds(500);  ///< Between renewals of running items.
  /// For an answer, beyond the hold. Longer than a work lease: a grant that comes late is given
  /// back, one that is never read leaves an item that must not repeat unknown.
  Duration acquire_timeout = seconds(6);
  Duration report_deadline = milliseconds(1500);
  Duration retry_delay = milliseconds(200);  ///< After a call that failed.
  /// For room, before a grant is given back: that costs its queue node a write and another grant.
  Duration grant_wait = milliseconds(300);
  Duration default_item_deadline = seconds(60);  ///< For routes that set none.
};

class BatchWorker {
 public:
  BatchWorker(Environment& environment, NodeAgent& agent, BackendCaller& caller,
              BatchWorkerOptions options = {});
  ~BatchWorker();
  BatchWorker(const BatchWorker&) = delete;
  BatchWorker& operator=(const BatchWorker&) = delete;

  /// Begins to ask for work, for as long as the worker lives.
  void Start();
  /// Asks for no more work; what is held is finished and reported.
  void Drain() { draining_ = true; }

  /// @return leases of items that are waiting or running.
  std::size_t pending() const { return work_items_.pending(); }
  /// @return results that no owner has answered yet.
  std::size_t unreported() const { return work_items_.unreported(); }

 private:
  void RequestRun();
  void Run();
  void StartWaitingItems();
  /// Starts the item, gives it back, or leaves it waiting. @param free is reduced by a start.
  void StartOrRefuse(WorkLeaseId lease, BatchCapacity* free);
  void StartItem(WorkLeaseId lease, const proto::Route& route);
  bool CanDispatch(WorkLeaseId lease);
  void FinishItem(WorkLeaseId lease, const std::string& backend, const BackendOutcome& outcome);
  bool ShouldAcquire() const;
  void Acquire();
  void AcquireWork(const AcquirePlan& plan, const proto::Server& server);
  void OnAcquired(NodeId node, NodeId gateway, TimePoint sent,
                  const Result<proto::AcquireWorkResponse>& result);
  void HandleGrants(const proto::AcquireWorkResponse& response, NodeId gateway, TimePoint sent);
  void EndLease(WorkLeaseId lease);

  StartConditions Conditions() const;
  /// @return free slots by back end, less those of items that were started and have not left.
  BatchCapacity FreeCapacity() const;
  /// @return the same, less those of items that wait here.
  BatchCapacity UnclaimedCapacity() const;
  bool IsPaused(const std::string& backend) const;
  std::vector<NodeId> OwningNodes() const;

  Environment& environment_;
  NodeAgent& agent_;
  BackendCaller& caller_;
  BatchWorkerOptions options_;
  WorkItemTable work_items_;
  AcquirePlanner acquire_planner_;
  WorkReporter reporter_;
  std::map<WorkLeaseId, std::shared_ptr<BackendCall>> calls_;
  /// Back ends that turned an item away lately get no further ones until then.
  std::map<std::string, TimePoint> paused_backends_;
  LifetimeGuard lifetime_;
  TimerId tick_timer_ = 0;
  bool run_requested_ = false;
  bool draining_ = false;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Runs batch items in the capacity that live calls leave: acquires work from queue nodes, starts
/// granted items while node lease, work lease and configuration allow it, and reports results
/// through `WorkReportSender`. `WorkItemTable` and `AcquirePlanner` make the decisions.
///
/// A grant's time to start counts from when the request for work was *sent*, so that grants expire
/// while a worker is frozen. Threads: the owner's event loop only.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch_work/acquire_planner.h"
#include "batch_work/queue_node_call.h"
#include "batch_work/work_item_table.h"
#include "batch_work/work_report_sender.h"
#include "calls/backend_caller.h"
#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

struct BatchWorkerOptions {
  WorkItemTableLimits limits;
  AcquirePlannerOptions acquire;
  Duration tick_interval = milliseconds(50);
  Duration renewal_interval = milliseconds(500);  ///< Between renewals of running items.
  /// Of AcquireWork, beyond the long poll. Longer than a work lease: a late grant is returned, but
  /// one that is never read leaves a non-idempotent item unknown.
  Duration acquire_timeout = seconds(6);
  Duration report_deadline = milliseconds(1500);
  Duration retry_delay = milliseconds(200);  ///< After a call that failed.
  /// How long a granted item waits for capacity; returning it costs its queue node a write and
  /// another grant.
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

  /// Starts to acquire work; ends with the worker's life.
  void Start();
  /// Acquires no more work; pending items are finished and reported.
  void Drain() { draining_ = true; }

  /// @return the number of items that wait or run.
  std::size_t pending() const { return work_items_.pending(); }
  /// @return the number of results that no owner has confirmed.
  std::size_t unreported() const { return work_items_.unreported(); }

 private:
  void RequestTick();
  void Tick();
  void StartWaitingItems();
  /// Starts the item, returns it, or leaves it waiting. @param free is reduced by a start.
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

  StartConditions CurrentConditions() const;
  /// @return free slots of each back end, less those of started items whose request was not sent.
  BatchCapacity FreeCapacity() const;
  /// @return the same, less those of waiting items.
  BatchCapacity UnclaimedCapacity() const;
  bool IsPaused(const std::string& backend) const;
  std::vector<NodeId> OwningNodes() const;

  Environment& environment_;
  NodeAgent& agent_;
  BackendCaller& caller_;
  BatchWorkerOptions options_;
  WorkItemTable work_items_;
  AcquirePlanner acquire_planner_;
  WorkReportSender report_sender_;
  std::map<WorkLeaseId, std::shared_ptr<BackendCall>> calls_;
  /// Back ends that refused an item get no further ones until then.
  std::map<std::string, TimePoint> paused_backends_;
  LifetimeGuard lifetime_;
  TimerId tick_timer_ = 0;
  bool tick_requested_ = false;
  bool draining_ = false;
};

}  // namespace cloverbank

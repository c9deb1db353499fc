#pragma once
/// @file
/// Runs batch items in the capacity that live calls leave: acquires work from queue nodes, starts
/// granted items while the node lease, the work lease and the configuration allow it, and reports
/// results through `WorkReportSender`. `WorkItemTable` and `AcquirePlanner` make the decisions.
///
/// A grant's start window counts from when the worker *sent* the request for work, so that grants
/// expire while the worker's process is suspended. Threads: the owner's event loop only.

#include <map>
#include <memory>
#include <set>
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
  Duration tick_interval = milliseconds(50);      ///< Between ticks that no event requests.
  Duration renewal_interval = milliseconds(500);  ///< Between renewals of running items.
  /// Of an AcquireWork call, beyond the long poll. Longer than a work lease: the worker returns a
  /// grant that arrives late, but a grant that it never reads leaves a non-idempotent item unknown.
  Duration acquire_timeout = seconds(6);
  Duration report_deadline = milliseconds(1500);  ///< Of a ReportWork call.
  Duration retry_delay = milliseconds(200);       ///< After a call that failed.
  /// How long a granted item waits for capacity or a route before the worker returns it. Returning
  /// it costs its queue node a write and another grant.
  Duration grant_wait = milliseconds(300);
  Duration default_item_deadline = seconds(60);  ///< For routes that set none, and HTTP backends.
};

class BatchWorker {
 public:
  BatchWorker(Environment& environment, NodeAgent& agent, BackendCaller& caller,
              BatchWorkerOptions options = {});
  ~BatchWorker();
  BatchWorker(const BatchWorker&) = delete;
  BatchWorker& operator=(const BatchWorker&) = delete;

  /// Starts to acquire work, until the worker is destroyed.
  void Start();
  /// Stops acquiring work; pending items are still finished and reported.
  void Drain() { draining_ = true; }

  /// @return the number of granted items that wait to start or run.
  std::size_t pending() const { return work_items_.pending(); }
  /// @return the number of results that no partition owner has confirmed yet.
  std::size_t unreported() const { return work_items_.unreported(); }

 private:
  /// Schedules a tick without delay, unless one is requested already.
  void RequestTick();
  /// Starts waiting items, sends reports that are due, and requests work.
  void Tick();
  void StartWaitingItems();
  /// Starts the item, returns it unstarted, or leaves it waiting. A start takes a slot from `free`.
  void StartOrRefuse(WorkLeaseId lease, BatchCapacity* free);
  void StartItem(WorkLeaseId lease, const proto::Route& route, const std::string& backend);
  /// @return one of the route's back ends with free slots, chosen by weight; empty if there is
  /// none.
  std::string ChooseFreeBackend(const proto::Route& route, const BatchCapacity& free) const;
  /// @return whether the item's request may be sent now; if so, it is recorded as dispatched.
  bool CanDispatch(WorkLeaseId lease);
  /// Handles the end of the item's call to `backend`.
  void FinishItem(WorkLeaseId lease, const std::string& backend, const BackendOutcome& outcome);
  bool ShouldAcquire() const;
  void Acquire();
  void AcquireWork(const AcquirePlan& plan, const proto::Server& server);
  void OnAcquired(const AcquirePlan& plan, NodeId gateway, TimePoint sent,
                  const Result<proto::AcquireWorkResponse>& result);
  /// @return the back ends of the routes of the granted items.
  std::set<std::string> BackendsOfGrants(const proto::AcquireWorkResponse& response) const;
  void HandleGrants(const proto::AcquireWorkResponse& response, NodeId gateway, TimePoint sent);
  /// Handles a lease that its queue node ended; cancels the item's call if it is not dispatched.
  void EndLease(WorkLeaseId lease);

  StartConditions CurrentConditions() const;
  /// @return free slots of each back end, less those of started items whose request was not sent.
  BatchCapacity FreeCapacity() const;
  /// @return `FreeCapacity`, less the slots that waiting items need.
  BatchCapacity UnclaimedCapacity() const;
  /// @return whether the back end refused an item within the last `retry_delay`.
  bool IsPaused(const std::string& backend) const;
  /// @return the queue nodes that own partitions.
  std::vector<NodeId> OwningNodes() const;

  Environment& environment_;
  NodeAgent& agent_;
  BackendCaller& caller_;
  BatchWorkerOptions options_;
  WorkItemTable work_items_;
  AcquirePlanner acquire_planner_;
  WorkReportSender report_sender_;
  std::map<WorkLeaseId, std::shared_ptr<BackendCall>> calls_;
  /// Back ends that refused an item, and the time until which they get no further items.
  std::map<std::string, TimePoint> paused_backends_;
  LifetimeGuard lifetime_;
  TimerId tick_timer_ = 0;
  bool tick_requested_ = false;
  bool draining_ = false;
};

}  // namespace cloverbank

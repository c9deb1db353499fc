#pragma once
/// @file
/// Sends the results in `WorkItemTable` to the owners of their partitions until an owner has
/// confirmed them, and renews the leases of running items. Threads: the owner's event loop only.

#include <functional>
#include <map>

#include "batch_work/queue_node_call.h"
#include "batch_work/work_item_table.h"
#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

struct WorkReportSenderOptions {
  Duration renewal_interval = milliseconds(500);  ///< Between renewals of running items.
  Duration deadline = milliseconds(1500);         ///< Of a ReportWork call.
  Duration retry_delay = milliseconds(200);       ///< After a call that failed.
};

class WorkReportSender {
 public:
  struct Events {
    /// Runs when a queue node has ended the lease.
    std::function<void(WorkLeaseId)> on_lease_ended;
    /// Runs when a queue node has confirmed reports: there may be capacity for more items.
    std::function<void()> on_confirmed;
  };

  /// All references must outlive the sender.
  WorkReportSender(Environment& environment, NodeAgent& agent, WorkItemTable& work_items,
                   WorkReportSenderOptions options, Events events);

  /// Sends every report and renewal that is due now.
  void SendDue();

 private:
  struct ReportState {
    bool in_flight = false;
    TimePoint next_renewal;
    TimePoint retry_at;
  };

  void Send(const ReportAddress& address);
  void OnResponse(const ReportAddress& address, const proto::ReportWorkRequest& request,
                  const Result<proto::ReportWorkResponse>& result);
  /// Removes the state of nodes that have left the fleet.
  void RemoveFormerOwners();
  WorkItemTable::OwnerLookup OwnerLookup() const;

  Environment& environment_;
  NodeAgent& agent_;
  WorkItemTable& work_items_;
  const WorkReportSenderOptions options_;
  const Events events_;
  std::map<ReportAddress, ReportState> reports_;
  LifetimeGuard lifetime_;
};

}  // namespace cloverbank

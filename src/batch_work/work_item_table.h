#pragma once
/// @file
/// Pure core of the batch worker: the items this gateway holds work leases for, and the results it
/// still owes. It decides whether an item may start, what its end is reported as, and which reports
/// go to which queue node. Threads: the owner's event loop only.
///
/// Invariants: an item is reported as not run only if its request certainly never left; a report is
/// kept until an owner of its partition has answered it; each lease is reported at most once at a
/// time.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "batch_work/start_refusal.h"
#include "calls/backend_caller.h"
#include "proto/batch.pb.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// @return whether a replica refused the item for good: giving it back would only repeat that.
bool WasRejected(const BackendOutcome& outcome);

/// What the gateway's state allows at this moment.
struct StartConditions {
  TimePoint now;
  bool node_lease_valid = false;
  const proto::RoutingConfiguration* configuration = nullptr;
};

/// What to do with a running item whose lease the queue node ended (its batch was cancelled, or the
/// item was given to another gateway). An item that left runs to its end, also an idempotent one,
/// and its true result is reported: cutting it off would stop nothing at the replica, and a
/// cancelled batch would show it as never started.
enum class EndedAction : std::uint8_t {
  kNothing,   ///< Not held, or its result is known already.
  kCancel,    ///< It has not left: cancel the call; the item is reported as not run.
  kContinue,  ///< It left.
};

struct WorkItemTableLimits {
  std::size_t maximum_items = 2000;  ///< Items waiting, running or unreported.
  std::size_t largest_unreported_bytes = 32U << 20U;
  std::size_t reports_per_call = 200;
  std::size_t report_bytes_per_call = 1U << 20U;
};

/// Addressee of one ReportWork call. The leases were given to a node id, which may be an earlier
/// one.
struct ReportAddress {
  NodeId owner;
  NodeId gateway;
  friend auto operator<=>(const ReportAddress&, const ReportAddress&) = default;
};

class WorkItemTable {
 public:
  explicit WorkItemTable(WorkItemTableLimits limits = {}) : limits_(limits) {}

  /// Takes a grant. @return false for a lease that is held already (a repeated answer).
  /// @param sent when the request that brought it was sent: its window counts from then.
  bool Add(const proto::WorkGrant& grant, NodeId gateway, TimePoint sent, TimePoint now);

  /// @return whether the item of `lease` may start; asked once more right before the request
  /// leaves.
  StartRefusal CanStart(WorkLeaseId lease, const StartConditions& conditions) const;
  /// The call was handed to the back end's caller.
  void RecordRunning(WorkLeaseId lease);
  /// The request may have left from now on.
  void RecordDispatched(WorkLeaseId lease);
  /// Ends an item that was not started. Final refusals become failed results, others give it back.
  void Refuse(WorkLeaseId lease, StartRefusal refusal);
  /// Takes the outcome of its call.
  /// @param keep_if_not_run whether an item that certainly did not run waits here for another try,
  /// instead of being given back.
  void Finish(WorkLeaseId lease, const BackendOutcome& outcome, bool keep_if_not_run);
  /// The queue node ended the lease.
  EndedAction End(WorkLeaseId lease);
  /// The call of an ended lease was cancelled: whether it ran is known only if it never left.
  void FinishCancelled(WorkLeaseId lease);

  /// @return leases granted and not yet running, in order of arrival.
  std::vector<WorkLeaseId> Waiting() const;
  /// @return since when the item of `lease` has been held.
  TimePoint ArrivedAt(WorkLeaseId lease) const;
  const proto::WorkGrant* FindGrant(WorkLeaseId lease) const;
  /// @return items handed to the caller whose request has not left, by route name.
  std::map<std::string, std::uint32_t> NotDispatchedByRoute() const;

  /// Finds the owner of a partition; an invalid id while there is none.
  using OwnerLookup = std::function<NodeId(PartitionId)>;
  /// @return every address that has reports or running items now. Those without an owner wait.
  /// @param include_running also addresses that only have leases to renew.
  std::vector<ReportAddress> FindReportAddresses(const OwnerLookup& owner_of,
                                                 bool include_running) const;
  /// @return the call to make to `address`, within the limits; its reports count as under way.
  proto::ReportWorkRequest TakeReports(const ReportAddress& address, const OwnerLookup& owner_of);
  /// The owner answered: its reports are done with.
  void RecordConfirmed(const proto::ReportWorkRequest& request);
  /// No answer came: its reports wait again.
  void RecordReportFailed(const proto::ReportWorkRequest& request);

  /// Whether so much is held or unreported that nothing further should be acquired.
  bool IsFull() const;
  std::size_t unreported() const { return unreported_; }
  std::size_t pending() const { return items_.size() - unreported_; }

 private:
  enum class Phase : std::uint8_t { kWaiting, kRunning, kDispatched, kDone, kReporting };
  struct Item {
    proto::WorkGrant grant;
    NodeId gateway;
    TimePoint start_by;
    TimePoint arrived;
    Phase phase = Phase::kWaiting;
    bool ended = false;
    proto::WorkReport report;  ///< From kDone on.
  };

  Item* Find(WorkLeaseId lease);
  const Item* Find(WorkLeaseId lease) const;
  static bool IsDone(const Item& item) { return item.phase >= Phase::kDone; }
  /// Ends an item that did not run: another gateway may get it.
  void CompleteNotRun(Item& item, const std::string& reason);
  /// Ends an item with a failure that is its result.
  void CompleteFailed(Item& item, const std::string& error);
  void Complete(Item& item, proto::WorkDisposition disposition, proto::ItemOutcome outcome,
                const std::string& output, const std::string& error);

  WorkItemTableLimits limits_;
  std::map<WorkLeaseId, Item> items_;
  std::size_t unreported_ = 0;
  std::size_t unreported_bytes_ = 0;
};

}  // namespace cloverbank

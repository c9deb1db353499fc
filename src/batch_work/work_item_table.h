#pragma once
/// @file
/// The batch items for which this gateway has work leases, and the results that it has not reported
/// yet. Decides whether an item may start, how its end is reported, and which reports go to which
/// queue node. Pure. Threads: the owner's event loop only.
///
/// Invariants: an item is reported as not run only if its request certainly was not sent; a report
/// is kept until an owner of its partition has confirmed it; each lease is in at most one report in
/// flight.

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

/// @return whether a replica found the item itself invalid: any other replica would too.
bool WasRejected(const BackendOutcome& outcome);

/// The gateway's state at this moment.
struct StartConditions {
  TimePoint now;
  bool node_lease_valid = false;
  const proto::RoutingConfiguration* configuration = nullptr;
};

/// What to do with a running item whose lease the queue node ended (its batch was cancelled, or the
/// item was granted to another gateway). A dispatched item runs to its end, even an idempotent one,
/// and its result is reported: closing the connection would not stop the replica, and a cancelled
/// batch would show the item as never started.
enum class EndedLeaseAction : std::uint8_t {
  kNothing,   ///< No such item, or its result is known.
  kCancel,    ///< Not dispatched: cancel the call; the item is reported as not run.
  kContinue,  ///< Dispatched.
};

struct WorkItemTableLimits {
  std::size_t maximum_items = 2000;  ///< Items waiting, running or unreported.
  std::size_t maximum_unreported_bytes = 32U << 20U;
  std::size_t reports_per_call = 200;
  std::size_t report_bytes_per_call = 1U << 20U;
};

/// Destination of one ReportWork call, and the gateway's node id to which the leases were granted,
/// which may be an earlier one.
struct ReportAddress {
  NodeId owner;
  NodeId gateway;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  friend auto operator<=>(const ReportAddress&, const ReportAddress&) = default;
};

class WorkItemTable {
 public:
  explicit WorkItemTable(WorkItemTableLimits limits = {}) : limits_(limits) {}

  /// Adds a granted item. @return false for a known lease (a repeated response).
  /// @param sent when the request for work was sent: the time to start counts from then.
  bool Add(const proto::WorkGrant& grant, NodeId gateway, TimePoint sent, TimePoint now);

  /// @return whether the item of `lease` may start; evaluated again immediately before its request
  /// is sent.
  StartRefusal CanStart(WorkLeaseId lease, const StartConditions& conditions) const;
  /// The call was passed to the `BackendCaller`.
  void RecordRunning(WorkLeaseId lease);
  /// From now on the request may have been sent.
  void RecordDispatched(WorkLeaseId lease);
  /// Ends an item that was not started: as failed for a final refusal, else as not run.
  void Refuse(WorkLeaseId lease, StartRefusal refusal);
  /// The call of the item ended.
  /// @param keep_if_not_run whether an item that certainly did not run waits for another attempt
  /// instead of being returned.
  void Finish(WorkLeaseId lease, const BackendOutcome& outcome, bool keep_if_not_run);
  /// The queue node ended the lease.
  EndedLeaseAction RecordLeaseEnded(WorkLeaseId lease);
  /// The call of an ended lease was cancelled: reported as not run only if it was not dispatched.
  void FinishCancelled(WorkLeaseId lease);

  /// @return leases granted and not yet running, in order of arrival.
  std::vector<WorkLeaseId> Waiting() const;
  /// @return when the grant of `lease` was received.
  TimePoint ArrivedAt(WorkLeaseId lease) const;
  const proto::WorkGrant* FindGrant(WorkLeaseId lease) const;
  /// @return the number of running items whose request was not dispatched, by route name.
  std::map<std::string, std::uint32_t> NotDispatchedByRoute() const;

  /// Finds the owner of a partition; an invalid id while there is none.
  using OwnerLookup = std::function<NodeId(PartitionId)>;
  /// @return every address that has reports or running items now. Items of a partition without an
  /// owner are left out.
  /// @param include_running also addresses that only have leases to renew.
  std::vector<ReportAddress> FindReportAddresses(const OwnerLookup& owner_of,
                                                 bool include_running) const;
  /// @return the request to `address`, within the limits; its reports are in flight from now on.
  proto::ReportWorkRequest TakeReports(const ReportAddress& address, const OwnerLookup& owner_of);
  /// The owner confirmed the reports: their items are removed.
  void RecordConfirmed(const proto::ReportWorkRequest& request);
  /// The call failed: its reports wait again.
  void RecordReportFailed(const proto::ReportWorkRequest& request);

  /// Whether the limits are reached, so that nothing more should be acquired.
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
    bool lease_ended = false;
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

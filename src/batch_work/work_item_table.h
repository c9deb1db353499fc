#pragma once
/// @file
/// The batch items for which this gateway has work leases, and the results that it has not reported
/// yet. Decides whether an item may start, how its end is reported, and which reports go to which
/// queue node. Pure. Threads: the owner's event loop only.
///
/// Invariants: an item is reported as not run only if it certainly did not run (its request was not
/// sent, or the back end did not execute it); a report is kept until an owner of its partition has
/// confirmed it; each lease is in at most one report in flight.

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

/// @return whether a replica rejected the item itself as invalid, as any other replica would too.
bool WasRejected(const BackendOutcome& outcome);

/// The gateway's state at the moment when it decides whether an item may start.
struct StartConditions {
  TimePoint now;
  bool node_lease_valid = false;
  const proto::RoutingConfiguration* configuration = nullptr;
};

/// What to do with an item whose lease the queue node ended, because its batch was cancelled or the
/// item was granted to another gateway. A dispatched item runs to its end, even an idempotent one,
/// and its result is reported: closing the connection would not stop the replica, and a cancelled
/// batch would show the item as never started.
enum class EndedLeaseAction : std::uint8_t {
  kNothing,   ///< No call to end: no such item, not started, or its result is known.
  kCancel,    ///< Not dispatched: cancel the call; the item is reported as not run.
  kContinue,  ///< Dispatched: let the call continue.
};

struct WorkItemTableLimits {
  std::size_t maximum_items = 2000;                   ///< Items waiting, running or unreported.
  std::size_t maximum_unreported_bytes = 32U << 20U;  ///< Of outputs and errors not reported yet.
  std::size_t reports_per_call = 200;
  std::size_t report_bytes_per_call = 1U << 20U;
};

/// Destination of one ReportWork call, and the node id of this gateway to which the leases were
/// granted. That may be an earlier node id of the gateway.
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
  /// @param sent when this gateway sent the request for work: the start window counts from then.
  bool Add(const proto::WorkGrant& grant, NodeId gateway, TimePoint sent, TimePoint now);

  /// @return kNone if the item of `lease` may start now, else the reason why not. Evaluated again
  /// immediately before its request is sent.
  StartRefusal CanStart(WorkLeaseId lease, const StartConditions& conditions) const;
  /// Records that the item's call to `backend` was passed to the `BackendCaller`.
  void RecordRunning(WorkLeaseId lease, const std::string& backend);
  /// Records that from now on the item's request may have been sent.
  void RecordDispatched(WorkLeaseId lease);
  /// Ends an item that was not started as not run, so that its queue node may grant it again.
  void ReturnUnstarted(WorkLeaseId lease);
  /// Records the end of the item's call.
  /// @param keep_if_not_run whether an item that certainly did not run waits here for another
  /// attempt instead of being returned to its queue node.
  void Finish(WorkLeaseId lease, const BackendOutcome& outcome, bool keep_if_not_run);
  /// Records that the queue node ended the lease. @return what to do with the item's call.
  EndedLeaseAction RecordLeaseEnded(WorkLeaseId lease);
  /// Records that the call of an ended lease was cancelled. The item is reported as not run if it
  /// was not dispatched, else as unknown.
  void FinishCancelled(WorkLeaseId lease);

  /// @return the leases of items that are not running yet, by rising id, which for one queue node
  /// is the order of its grants.
  std::vector<WorkLeaseId> Waiting() const;
  /// @return when this gateway received the grant of `lease`.
  TimePoint ArrivedAt(WorkLeaseId lease) const;
  /// @return nullptr if the lease is not known.
  const proto::WorkGrant* FindGrant(WorkLeaseId lease) const;
  /// @return the route of the item of `lease` by `configuration`; nullptr if the lease is not known
  /// or there is no such route.
  const proto::Route* FindRoute(WorkLeaseId lease,
                                const proto::RoutingConfiguration& configuration) const;
  /// @return the number of running items whose request was not dispatched, by back end.
  std::map<std::string, std::uint32_t> NotDispatchedByBackend() const;

  /// Finds the owner of a partition; an invalid id while there is none.
  using OwnerLookup = std::function<NodeId(PartitionId)>;
  /// @return every address to which reports wait to be sent. Items of a partition without an owner
  /// are left out.
  /// @param include_running whether to add addresses for which there are only leases to renew.
  std::vector<ReportAddress> FindReportAddresses(const OwnerLookup& owner_of,
                                                 bool include_running) const;
  /// @return the request to send to `address`: reports within the limits, and leases to renew. Its
  /// reports are in flight from now on.
  proto::ReportWorkRequest TakeReports(const ReportAddress& address, const OwnerLookup& owner_of);
  /// Records that the owner confirmed the reports: removes their items.
  void RecordConfirmed(const proto::ReportWorkRequest& request);
  /// Records that the call failed: its reports wait to be sent again.
  void RecordReportFailed(const proto::ReportWorkRequest& request);

  /// @return whether a limit is reached, so that no more work should be acquired.
  bool IsFull() const;
  std::size_t unreported() const { return unreported_; }
  std::size_t pending() const { return items_.size() - unreported_; }

 private:
  /// In order: not started; call passed to the `BackendCaller`; request may have been sent; result
  /// known; report in flight.
  enum class Phase : std::uint8_t { kWaiting, kRunning, kDispatched, kDone, kReporting };
  struct Item {
    proto::WorkGrant grant;
    NodeId gateway;
    TimePoint start_by;   ///< When the start window ends.
    TimePoint arrived;    ///< When this gateway received the grant.
    std::string backend;  ///< To which the item's call was passed.
    Phase phase = Phase::kWaiting;
    bool lease_ended = false;
    proto::WorkReport report;  ///< Complete from kDone on.
  };

  Item* Find(WorkLeaseId lease);
  const Item* Find(WorkLeaseId lease) const;
  static bool IsDone(const Item& item) { return item.phase >= Phase::kDone; }
  /// Ends an item that did not run, so that another gateway may get it.
  void CompleteNotRun(Item& item, const std::string& reason);
  /// Ends an item whose result is a failure.
  void CompleteFailed(Item& item, const std::string& error);
  void Complete(Item& item, proto::WorkDisposition disposition, proto::ItemOutcome outcome,
                const std::string& output, const std::string& error);

  WorkItemTableLimits limits_;
  std::map<WorkLeaseId, Item> items_;
  std::size_t unreported_ = 0;
  std::size_t unreported_bytes_ = 0;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Leases on batch items, as the partition's owner records them: which gateway may run which item,
/// and when it last reported. Not durable: after a recovery no lease is known, and items that must
/// not repeat are recognised by the log's ItemStarted entries.
///
/// Pure: the time comes with each call. Threads: none of its own.

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "proto/batch.pb.h"

namespace cloverbank {

/// A lease ends if it is neither renewed nor reported for this long.
inline constexpr Duration kWorkLeaseTimeout = seconds(5);
/// An item must be started within this time of its grant.
inline constexpr Duration kWorkLeaseStartWindow = seconds(2);

/// Names one item of one batch.
struct WorkItemKey {
  PartitionId partition;
  std::string batch_id;
  std::uint32_t index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const WorkItemKey&) const = default;
};

/// Names one batch.
struct BatchKey {
  PartitionId partition;
  std::string batch_id;
  // NOLINTNEXTLINE(modernize-use-nullptr): as above.
  auto operator<=>(const BatchKey&) const = default;
};

struct WorkLease {
  WorkLeaseId id;
  WorkItemKey item;
  std::uint64_t gateway_node_id = 0;  ///< 0: adopted after a recovery, gateway unknown.
  Incarnation incarnation;            ///< Of the gateway.
  bool idempotent = false;
  TimePoint last_heard;              ///< When its gateway renewed or reported it.
  bool result_being_logged = false;  ///< Its result is being logged: it does not expire.
};

/// What to do with one report.
enum class ReportAction : std::uint8_t {
  kDrop,        ///< The item has its result already, or the report says nothing new.
  kLogResult,   ///< Log ItemFinished with the reported outcome.
  kLogUnknown,  ///< Log ItemFinished with ITEM_OUTCOME_UNKNOWN.
  kReturnItem,  ///< Let another gateway run it.
  kWait,        ///< A result of the item is being logged: the gateway must retry.
};

class WorkLeases {
 public:
  /// @param first lease id; ranges of different incarnations must be disjoint.
  explicit WorkLeases(WorkLeaseId first) : next_id_(first) {}

  /// Grants a lease on `item`. Requires that it has none.
  const WorkLease& Grant(const WorkItemKey& item, std::uint64_t gateway_node_id,
                         Incarnation incarnation, bool idempotent, TimePoint now);
  /// Renews a running lease. @return nullptr if it is not current: its gateway should stop the
  /// item.
  const WorkLease* Renew(WorkLeaseId id, std::uint64_t gateway_node_id, Incarnation incarnation,
                         TimePoint now);
  /// @return the current lease of `item`, or nullptr.
  const WorkLease* Find(const WorkItemKey& item) const;
  /// @return what a report under `lease` means, given whether the item `has_result`.
  ReportAction EvaluateReport(const proto::WorkReport& report, const WorkItemKey& item,
                              bool has_result) const;

  /// Records that the item's result is being logged (true), or was not logged (false).
  void SetResultBeingLogged(const WorkItemKey& item, bool being_logged, TimePoint now);
  /// Ends the item's lease, if any.
  void End(const WorkItemKey& item);
  /// Ends and returns the leases that have expired (`kWorkLeaseTimeout`).
  std::vector<WorkLease> EndExpired(TimePoint now);
  /// Ends every lease of the partition (it went to another owner).
  void EndPartition(PartitionId partition);

  /// @return how many items of the batch are leased.
  std::size_t CountLeases(PartitionId partition, const std::string& batch_id) const;
  std::size_t size() const { return by_id_.size(); }

 private:
  std::map<WorkLeaseId, WorkLease> by_id_;
  std::map<WorkItemKey, WorkLeaseId> by_item_;
  WorkLeaseId next_id_;
};

}  // namespace cloverbank

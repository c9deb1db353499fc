#pragma once
/// @file
/// Leases on batch items, as the partition's owner records them: which gateway may run which item,
/// and when it last reported. Not durable: after a recovery no lease is known, and items that must
/// not run again are recognized by their ItemStarted entries in the log.
///
/// Pure: callers pass the time. Threads: none of its own.

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

/// A lease expires if its gateway neither renews nor reports it for this long.
inline constexpr Duration kWorkLeaseTimeout = seconds(5);
/// A gateway must start an item within this time of its grant.
inline constexpr Duration kWorkLeaseStartWindow = seconds(2);

/// Identifies one item of one batch.
struct WorkItemKey {
  PartitionId partition;
  std::string batch_id;
  std::uint32_t index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const WorkItemKey&) const = default;
};

/// Identifies one batch.
struct BatchKey {
  PartitionId partition;
  std::string batch_id;
  // NOLINTNEXTLINE(modernize-use-nullptr): as above.
  auto operator<=>(const BatchKey&) const = default;
};

struct WorkLease {
  WorkLeaseId id;
  WorkItemKey item;
  /// 0: granted after a recovery on an item that was started before; its gateway is unknown.
  std::uint64_t gateway_node_id = 0;
  Incarnation incarnation;  ///< Of the gateway.
  bool idempotent = false;
  TimePoint last_heard;              ///< When its gateway last renewed or reported it.
  bool result_being_logged = false;  ///< While true, the lease does not expire.
};

/// What to do with one report.
enum class ReportAction : std::uint8_t {
  /// Ignore it: the item has its result already, or the lease has ended and there is no result in
  /// it.
  kDrop,
  kLogResult,   ///< Log ItemFinished with the reported outcome.
  kLogUnknown,  ///< Log ItemFinished with ITEM_OUTCOME_UNKNOWN.
  kReturnItem,  ///< Return the item to the queue, so that another gateway may run it.
  kWait,        ///< A result of the item is being logged: the gateway must retry.
};

class WorkLeases {
 public:
  /// @param first the first lease id; the ranges of different incarnations must be disjoint.
  explicit WorkLeases(WorkLeaseId first) : next_id_(first) {}

  /// Grants a lease on `item`. Requires that it has none.
  const WorkLease& Grant(const WorkItemKey& item, std::uint64_t gateway_node_id,
                         Incarnation incarnation, bool idempotent, TimePoint now);
  /// Renews a lease. @return nullptr if the gateway does not hold it (any more): the gateway should
  /// stop the item.
  const WorkLease* Renew(WorkLeaseId id, std::uint64_t gateway_node_id, Incarnation incarnation,
                         TimePoint now);
  /// @return the current lease of `item`, or nullptr.
  const WorkLease* Find(const WorkItemKey& item) const;
  /// @return what to do with a report on `item`, given whether the item `has_result`.
  ReportAction EvaluateReport(const proto::WorkReport& report, const WorkItemKey& item,
                              bool has_result) const;

  /// Records that the item's result is being logged (true), or that it could not be logged (false).
  /// The time to the lease's expiry starts again at `now`.
  void SetResultBeingLogged(const WorkItemKey& item, bool being_logged, TimePoint now);
  /// Ends the item's lease, if any.
  void End(const WorkItemKey& item);
  /// Ends the leases that have expired (`kWorkLeaseTimeout`). @return them.
  std::vector<WorkLease> EndExpired(TimePoint now);
  /// Ends every lease of the partition, because it has moved to another owner.
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

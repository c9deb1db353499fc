#pragma once
/// @file
/// Items whose outcome is unknown: their leases ended without a result, and they must not run again
/// because they are not idempotent or their batch is cancelled. `WorkReportHandler` finishes them
/// as unknown. Pure.

#include <set>

#include "work_dispatch/work_leases.h"

namespace cloverbank {

class UnknownItems {
 public:
  void Add(const WorkItemKey& item) { items_.insert(item); }
  /// Removes an item, because it has a result now.
  void Remove(const WorkItemKey& item) { items_.erase(item); }
  void RemovePartition(PartitionId partition) {
    std::erase_if(items_,
                  [partition](const WorkItemKey& item) { return item.partition == partition; });
  }
  /// @return whether any of the items belongs to the batch.
  bool HasItemsOf(const BatchKey& batch) const {
    const auto first = items_.lower_bound({batch.partition, batch.batch_id, 0});
    return first != items_.end() && first->partition == batch.partition &&
           first->batch_id == batch.batch_id;
  }
  const std::set<WorkItemKey>& items() const { return items_; }

 private:
  std::set<WorkItemKey> items_;
};

}  // namespace cloverbank

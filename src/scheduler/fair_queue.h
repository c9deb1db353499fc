#pragma once
/// @file
/// Which waiting batch item runs next: weighted fair between tenants, fair between the batches of a
/// tenant (start-time fair queueing: the one with the least service received goes first), and
/// within a batch in runs of items that share a prompt prefix, so that replicas reuse their prefix
/// cache.
///
/// Pure: no clock, no randomness. A pick costs O(log tenants + log batches) whatever the size of
/// the batches; an item costs four bytes. Threads: none of its own.

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace cloverbank {

/// A batch while it is in a `FairQueue`.
using QueuedBatchId = StrongId<struct QueuedBatchIdTag>;

/// An item in the order in which its batch runs.
struct OrderedItem {
  std::uint32_t index : 31;
  std::uint32_t starts_group : 1;  ///< Its prefix differs from that of the item before it.
};

/// @return the items for which `is_waiting` holds, those with the same prefix key together, groups
/// in the order of their first item and items of a group by index.
std::vector<OrderedItem> GroupByPrefix(
    std::uint32_t item_count, const std::function<std::string_view(std::uint32_t)>& prefix_key,
    const std::function<bool(std::uint32_t)>& is_waiting);

struct PickedItem {
  QueuedBatchId batch;
  std::uint32_t index = 0;
};

class FairQueue {
 public:
  /// Items of one prefix that a batch may get in a row before the next tenant's turn.
  static constexpr std::size_t kLongestRun = 8;

  /// Sets the tenant's share relative to others; 0 counts as 1. Tenants never named have 1.
  void SetTenantWeight(const std::string& tenant, std::uint32_t weight);

  /// Adds a batch whose waiting items are `items`. `backend` is the model or service it runs on.
  QueuedBatchId AddBatch(const std::string& tenant, const std::string& backend,
                         std::vector<OrderedItem> items);
  /// Removes the batch and its waiting items; unknown ids are ignored.
  void RemoveBatch(QueuedBatchId batch);
  /// Queues an item that was picked again, ahead of those that were never picked.
  void ReturnItem(QueuedBatchId batch, std::uint32_t index);
  /// Moves the batch to another backend (its route was changed).
  void SetBackend(QueuedBatchId batch, const std::string& backend);

  /// Removes up to `limit` items that run on `backend`. @return them.
  std::vector<PickedItem> Pick(const std::string& backend, std::size_t limit);

  bool HasWaiting(const std::string& backend) const;
  std::size_t waiting_count() const { return waiting_count_; }

 private:
  /// Service received, in items scaled by `kPassScale` and divided by weight.
  using Pass = std::uint64_t;
  static constexpr Pass kPassScale = 1U << 20U;

  struct Batch {
    std::string tenant;
    std::string backend;
    std::vector<OrderedItem> items;
    std::size_t next = 0;
    std::deque<std::uint32_t> returned;
    Pass pass = 0;
    std::size_t waiting() const { return items.size() - next + returned.size(); }
  };
  /// Orders by service received; ties by id or name.
  struct RankedBatch {
    Pass pass = 0;
    QueuedBatchId id;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const RankedBatch&) const = default;
  };
  struct RankedTenant {
    Pass pass = 0;
    std::string name;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const RankedTenant&) const = default;
  };
  struct TenantQueue {
    Pass pass = 0;
    Pass virtual_time = 0;
    std::set<RankedBatch> batches;  ///< Those with waiting items.
  };
  struct BackendQueue {
    Pass virtual_time = 0;
    std::map<std::string, TenantQueue> tenants;
    std::set<RankedTenant> order;  ///< Tenants with waiting items.
  };

  void Activate(QueuedBatchId id, Batch& batch);
  void Deactivate(QueuedBatchId id, const Batch& batch);
  std::size_t PopRun(QueuedBatchId id, Batch& batch, std::size_t limit,
                     std::vector<PickedItem>* picked);
  Pass Weight(const std::string& tenant) const;

  std::map<QueuedBatchId, Batch> batches_;
  std::map<std::string, BackendQueue> backends_;
  std::map<std::string, std::uint32_t> weights_;
  QueuedBatchId last_id_;
  std::size_t waiting_count_ = 0;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Chooses which waiting batch item runs next. Tenants share a backend in proportion to their
/// weights, and the batches of a tenant share equally (start-time fair queueing: the one that has
/// received the least service goes first). Within a batch, items that share a prompt prefix run in
/// succession, so that replicas reuse their prefix cache.
///
/// Pure: no clock, no randomness. A pick costs O(log tenants + log batches), regardless of the size
/// of the batches. An item takes four bytes. Starts no threads.

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

/// Identifies a batch within a `FairQueue`.
using QueuedBatchId = StrongId<struct QueuedBatchIdTag>;

/// An item of a batch whose items are sorted into the order in which they run.
struct OrderedItem {
  std::uint32_t index : 31;        ///< Of the item in its batch.
  std::uint32_t starts_group : 1;  ///< 1 if the item before it has another prefix or there is none.
};

/// Groups the waiting items of a batch by prompt prefix.
/// @param prefix_key returns the prefix key of an item by its index; the views must stay valid
/// during the call.
/// @param is_waiting returns whether the item with that index is to be included.
/// @return the included items, those with the same prefix key together. The groups are in the order
/// of their first items, the items of a group in the order of their indexes.
std::vector<OrderedItem> GroupByPrefix(
    std::uint32_t item_count, const std::function<std::string_view(std::uint32_t)>& prefix_key,
    const std::function<bool(std::uint32_t)>& is_waiting);

/// An item that `FairQueue::Pick` removed from the queue.
struct PickedItem {
  QueuedBatchId batch;
  std::uint32_t index = 0;
};

class FairQueue {
 public:
  /// Maximum of items that a batch gets in succession before the next tenant's turn. They share one
  /// prefix, unless they are returned items.
  static constexpr std::size_t kMaximumRunLength = 8;

  /// Sets the tenant's weight, its share relative to others; 0 counts as 1. Other tenants have the
  /// weight 1.
  void SetTenantWeight(const std::string& tenant, std::uint32_t weight);

  /// Adds a batch.
  /// @param backends the models or services that may run its items, without repetition.
  /// @param items its waiting items in the order in which they should run, see `GroupByPrefix`.
  QueuedBatchId AddBatch(const std::string& tenant, std::vector<std::string> backends,
                         std::vector<OrderedItem> items);
  /// Removes the batch and its waiting items; ignores unknown ids.
  void RemoveBatch(QueuedBatchId batch);
  /// Queues again an item that was picked before, ahead of the items of its batch that were never
  /// picked; ignores unknown batches.
  void ReturnItem(QueuedBatchId batch, std::uint32_t index);
  /// Moves the batch to other backends, after a change of its route; ignores unknown batches.
  void SetBackends(QueuedBatchId batch, std::vector<std::string> backends);

  /// Removes up to `limit` waiting items that `backend` may run and charges them to their tenants
  /// and batches.
  /// @return the items, the one to run first at the front.
  std::vector<PickedItem> Pick(const std::string& backend, std::size_t limit);

  bool HasWaiting(const std::string& backend) const;
  /// @return the number of waiting items of all backends.
  std::size_t waiting_count() const { return waiting_count_; }

 private:
  /// Service received: picked items times `kPassScale`, divided by the weight for tenants. The
  /// lowest value is served first. A virtual time is the pass that was served last.
  using Pass = std::uint64_t;
  static constexpr Pass kPassScale = 1U << 20U;

  struct Batch {
    std::string tenant;
    std::vector<std::string> backends;
    std::vector<OrderedItem> items;
    std::size_t next = 0;                ///< Position in `items` of the first one never picked.
    std::deque<std::uint32_t> returned;  ///< Indexes of the items of `ReturnItem`.
    Pass pass = 0;
    std::size_t waiting() const { return items.size() - next + returned.size(); }
  };
  /// Sort key by service received, then by id (batches) or name (tenants).
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
  /// A tenant's batches on one backend.
  struct TenantQueue {
    Pass pass = 0;
    Pass virtual_time = 0;          ///< Of its batches.
    std::set<RankedBatch> batches;  ///< Those with waiting items.
  };
  struct BackendQueue {
    Pass virtual_time = 0;  ///< Of its tenants.
    std::map<std::string, TenantQueue> tenants;
    std::set<RankedTenant> order;  ///< Tenants with waiting items.
  };

  /// Adds a batch with waiting items to the queues of its tenant at its backends.
  void Activate(QueuedBatchId id, Batch& batch);
  /// Removes the batch from the queues of its tenant at its backends, if it is there.
  void Deactivate(QueuedBatchId id, const Batch& batch);
  void DeactivateAt(const std::string& backend, QueuedBatchId id, const Batch& batch);
  /// Moves the next items of the batch to `picked`, at most `limit`: returned items if there are
  /// any, else items of one prefix group. Requires that an item waits. @return their number.
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

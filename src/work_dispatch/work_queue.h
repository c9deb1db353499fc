#pragma once
/// @file
/// The waiting items of the owned partitions. Wraps `FairQueue`, which decides the order of items,
/// and maps its batches to partitions and routes.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batches/owned_partition.h"
#include "control_client/node_agent.h"
#include "scheduler/fair_queue.h"
#include "work_dispatch/work_leases.h"

namespace cloverbank {

class WorkQueue {
 public:
  explicit WorkQueue(NodeAgent& agent) : agent_(agent) {}

  /// Adds the partition, without queueing items of its batches.
  void AddPartition(const std::shared_ptr<OwnedPartition>& partition);
  /// Removes the partition and all its queued items.
  void RemovePartition(PartitionId partition);
  bool Owns(PartitionId partition) const { return partitions_.contains(partition); }
  /// @return nullptr if the partition is not owned.
  std::shared_ptr<OwnedPartition> FindPartition(PartitionId partition) const;
  /// @return the item's batch; nullptr if its partition is not owned or there is no such item.
  const StoredBatch* FindBatch(const WorkItemKey& item) const;
  /// @return the route of that name in the current configuration, or nullptr.
  const proto::Route* FindRoute(const std::string& name) const;

  /// Queues the batch's items that have neither a result nor an ItemStarted entry.
  void Enqueue(const OwnedPartition& partition, const StoredBatch& batch);
  /// Removes the batch's items from the queue; items that were picked cannot be returned any more.
  void Dequeue(const BatchKey& batch);
  /// Removes up to `limit` items for the backend from the queue. @return them.
  std::vector<WorkItemKey> Pick(const std::string& backend, std::size_t limit);
  /// Puts a picked item back into the queue, if its batch is still queued.
  void ReturnItem(const WorkItemKey& item);
  bool HasWaiting(const std::string& backend) const { return queue_.HasWaiting(backend); }
  std::size_t waiting_count() const { return queue_.waiting_count(); }

  /// Sets the number of failed runs of a returned item. Not logged: a new owner counts from 0.
  void SetFailedRuns(const WorkItemKey& item, std::uint32_t count) { failed_runs_[item] = count; }
  void ClearFailedRuns(const WorkItemKey& item) { failed_runs_.erase(item); }
  std::uint32_t FailedRuns(const WorkItemKey& item) const;

  /// Applies the tenants' weights and the routes' backends of the current configuration.
  void OnConfiguration();

 private:
  /// @return the backend of the route, or "" if there is no such route.
  std::string FindBackend(const std::string& route) const;

  NodeAgent& agent_;
  FairQueue queue_;
  std::map<PartitionId, std::shared_ptr<OwnedPartition>> partitions_;
  std::map<BatchKey, QueuedBatchId> queued_ids_;
  std::map<QueuedBatchId, BatchKey> batch_keys_;
  std::map<WorkItemKey, std::uint32_t> failed_runs_;
};

}  // namespace cloverbank

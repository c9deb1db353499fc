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
#include "runtime/environment.h"
#include "scheduler/fair_queue.h"
#include "work_dispatch/work_leases.h"

namespace cloverbank {

class WorkQueue {
 public:
  WorkQueue(const Environment& environment, NodeAgent& agent)
      : environment_(environment), agent_(agent) {}

  /// Adds the partition, without queueing items of its batches.
  void AddPartition(const std::shared_ptr<OwnedPartition>& partition);
  /// Removes the partition and all its queued items.
  void RemovePartition(PartitionId partition);
  bool Owns(PartitionId partition) const { return partitions_.contains(partition); }
  /// @return nullptr if the partition is not owned.
  std::shared_ptr<OwnedPartition> FindPartition(PartitionId partition) const;
  /// @return the item's batch; nullptr if its partition is not owned or there is no such item.
  const StoredBatch* FindBatch(const WorkItemKey& item) const;
  /// @return the batch's route by the current configuration, or nullptr.
  const proto::Route* FindRoute(const StoredBatch& batch) const;

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

  /// @return the batches in the queue whose items have been unable to run by the configuration for
  /// at least `duration`.
  std::vector<BatchKey> FindUnroutable(Duration duration) const;
  /// @return why the batch's items cannot run by the current configuration; empty if they can.
  std::string ExplainUnroutable(const StoredBatch& batch) const;

 private:
  /// @return the back ends of the batch's route; none if there is no such route.
  std::vector<std::string> FindBackends(const StoredBatch& batch) const;

  /// Records whether the batch's items can run by the current configuration.
  void UpdateRoutability(const BatchKey& key, const StoredBatch& batch);

  const Environment& environment_;
  NodeAgent& agent_;
  FairQueue queue_;
  /// Batches whose items cannot run by the configuration, and since when this node has known that.
  std::map<BatchKey, TimePoint> unroutable_since_;
  std::map<PartitionId, std::shared_ptr<OwnedPartition>> partitions_;
  std::map<BatchKey, QueuedBatchId> queued_ids_;
  std::map<QueuedBatchId, BatchKey> batch_keys_;
  std::map<WorkItemKey, std::uint32_t> failed_runs_;
};

}  // namespace cloverbank

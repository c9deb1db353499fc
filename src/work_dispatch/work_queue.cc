#include "work_dispatch/work_queue.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "routes/route_match.h"
#include "routes/route_reference.h"

namespace cloverbank {

void WorkQueue::AddPartition(const std::shared_ptr<OwnedPartition>& partition) {
  partitions_[partition->id()] = partition;
}

void WorkQueue::RemovePartition(PartitionId partition) {
  for (auto queued = queued_ids_.begin(); queued != queued_ids_.end();) {
    const BatchKey key = queued->first;
    ++queued;
    if (key.partition == partition) {
      Dequeue(key);
    }
  }
  std::erase_if(failed_runs_,
                [&](const auto& entry) { return entry.first.partition == partition; });
  partitions_.erase(partition);
}

std::shared_ptr<OwnedPartition> WorkQueue::FindPartition(PartitionId partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? nullptr : found->second;
}

const StoredBatch* WorkQueue::FindBatch(const WorkItemKey& item) const {
  const auto partition = FindPartition(item.partition);
  const StoredBatch* batch =
      partition == nullptr ? nullptr : partition->store().Find(item.batch_id);
  return batch == nullptr || item.index >= batch->items.size() ? nullptr : batch;
}

const proto::Route* WorkQueue::FindRoute(const StoredBatch& batch) const {
  return ResolveBatchRoute(agent_.configuration(), batch.route);
}

std::vector<std::string> WorkQueue::FindBackends(const StoredBatch& batch) const {
  std::vector<std::string> backends;
  if (const proto::Route* route = FindRoute(batch)) {
    for (const proto::WeightedBackend& weighted : BackendsOf(*route)) {
      backends.push_back(weighted.backend());
    }
  }
  std::sort(backends.begin(), backends.end());
  backends.erase(std::unique(backends.begin(), backends.end()), backends.end());
  return backends;
}

void WorkQueue::Enqueue(const OwnedPartition& partition, const StoredBatch& batch) {
  auto items = GroupByPrefix(
      static_cast<std::uint32_t>(batch.items.size()),
      [&](std::uint32_t index) { return std::string_view{batch.items[index].prefix_key()}; },
      [&](std::uint32_t index) { return batch.phases[index] == ItemPhase::kWaiting; });
  const BatchKey key{partition.id(), batch.accepted.batch_id()};
  const QueuedBatchId queued =
      queue_.AddBatch(batch.accepted.tenant(), FindBackends(batch), std::move(items));
  queued_ids_[key] = queued;
  batch_keys_[queued] = key;
  UpdateRoutability(key, batch);
}

void WorkQueue::Dequeue(const BatchKey& batch) {
  const auto queued = queued_ids_.find(batch);
  if (queued == queued_ids_.end()) {
    return;
  }
  queue_.RemoveBatch(queued->second);
  batch_keys_.erase(queued->second);
  queued_ids_.erase(queued);
  unroutable_since_.erase(batch);
}

std::vector<WorkItemKey> WorkQueue::Pick(const std::string& backend, std::size_t limit) {
  std::vector<WorkItemKey> items;
  for (const PickedItem& picked : queue_.Pick(backend, limit)) {
    const BatchKey& key = batch_keys_.at(picked.batch);
    items.push_back({key.partition, key.batch_id, picked.index});
  }
  return items;
}

void WorkQueue::ReturnItem(const WorkItemKey& item) {
  const auto queued = queued_ids_.find({item.partition, item.batch_id});
  if (queued != queued_ids_.end()) {
    queue_.ReturnItem(queued->second, item.index);
  }
}

std::uint32_t WorkQueue::FailedRuns(const WorkItemKey& item) const {
  const auto found = failed_runs_.find(item);
  return found == failed_runs_.end() ? 0 : found->second;
}

void WorkQueue::OnConfiguration() {
  for (const proto::Tenant& tenant : agent_.configuration().tenants()) {
    queue_.SetTenantWeight(tenant.name(), tenant.batch_weight());
  }
  for (const auto& [key, queued] : queued_ids_) {
    const StoredBatch* batch = FindBatch({key.partition, key.batch_id, 0});
    if (batch != nullptr) {
      queue_.SetBackends(queued, FindBackends(*batch));
      UpdateRoutability(key, *batch);
    }
  }
}

std::string WorkQueue::ExplainUnroutable(const StoredBatch& batch) const {
  if (agent_.configuration().version() == 0) {
    return "";  // This node has not received a configuration yet.
  }
  const proto::Route* route = FindRoute(batch);
  if (route == nullptr) {
    return "not run: the route of the batch, " + batch.accepted.route() +
           " when the batch was accepted, has ended";
  }
  if (batch.accepted.idempotent() && !route->idempotent()) {
    return "not run: route " + route->name() +
           " has become non-idempotent since the batch was accepted; submit the item again";
  }
  return "";
}

void WorkQueue::UpdateRoutability(const BatchKey& key, const StoredBatch& batch) {
  if (ExplainUnroutable(batch).empty()) {
    unroutable_since_.erase(key);
  } else {
    unroutable_since_.emplace(key, environment_.Now());
  }
}

std::vector<BatchKey> WorkQueue::FindUnroutable(Duration duration) const {
  std::vector<BatchKey> batches;
  if (!agent_.HasValidLease()) {
    return batches;  // The configuration of this node may be out of date.
  }
  for (const auto& [key, since] : unroutable_since_) {
    if (environment_.Now() - since >= duration) {
      batches.push_back(key);
    }
  }
  return batches;
}

}  // namespace cloverbank

#include "work_dispatch/work_dispatcher.h"

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Lease ids of different lives never meet.
WorkLeaseId FirstLeaseId(NodeId node) {
  constexpr unsigned kIncarnationShift = 32;
  return WorkLeaseId((node.value() << kIncarnationShift) + 1);
}

}  // namespace

WorkDispatcher::WorkDispatcher(Environment& environment, NodeAgent& agent)
    : environment_(environment), agent_(agent), leases_(FirstLeaseId(agent.node_id())) {
  OnConfiguration();
}

const proto::Route* WorkDispatcher::FindRoute(const std::string& name) const {
  for (const proto::Route& route : agent_.configuration().routes()) {
    if (route.name() == name) {
      return &route;
    }
  }
  return nullptr;
}

std::string WorkDispatcher::BackendOf(const std::string& route_name) const {
  const proto::Route* route = FindRoute(route_name);
  return route == nullptr ? "" : route->backend();
}

std::shared_ptr<OwnedPartition> WorkDispatcher::FindPartition(PartitionId partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? nullptr : found->second;
}

const StoredBatch* WorkDispatcher::FindBatch(const WorkItemKey& item) const {
  const auto partition = FindPartition(item.partition);
  const StoredBatch* batch =
      partition == nullptr ? nullptr : partition->store().Find(item.batch_id);
  return batch == nullptr || item.index >= batch->items.size() ? nullptr : batch;
}

void WorkDispatcher::AddPartition(const std::shared_ptr<OwnedPartition>& partition) {
  partitions_[partition->id()] = partition;
  cancellation_allowed_from_[partition->id()] = environment_.Now() + kWorkLeaseTimeout;
  partition->store().ForEach([&](const StoredBatch& batch) {
    if (batch.AllFinished()) {
      return;
    }
    for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
      if (batch.phases[index] == ItemPhase::kStarted) {
        leases_.Grant({partition->id(), batch.accepted.batch_id(), index}, 0, Incarnation(),
                      batch.accepted.idempotent(), environment_.Now());
      }
    }
    if (batch.cancelled) {
      incomplete_cancellations_.emplace(partition->id(), batch.accepted.batch_id());
    } else {
      Enqueue(*partition, batch);
    }
  });
  ServePending();
}

void WorkDispatcher::RemovePartition(PartitionId partition) {
  const auto of_partition = [&](const auto& key) { return key.first == partition; };
  for (auto queued = queued_.begin(); queued != queued_.end();) {
    const BatchKey key = queued->first;
    ++queued;
    if (of_partition(key)) {
      Dequeue(key);
    }
  }
  const auto item_of_partition = [&](const WorkItemKey& item) {
    return item.partition == partition;
  };
  std::erase_if(incomplete_cancellations_, of_partition);
  std::erase_if(unknown_due_, item_of_partition);
  std::erase_if(failed_runs_, [&](const auto& entry) { return item_of_partition(entry.first); });
  leases_.EndPartition(partition);
  cancellation_allowed_from_.erase(partition);
  partitions_.erase(partition);
}

void WorkDispatcher::AddBatch(OwnedPartition& partition, const StoredBatch& batch) {
  Enqueue(partition, batch);
  ServePending();
}

void WorkDispatcher::Enqueue(OwnedPartition& partition, const StoredBatch& batch) {
  auto items = GroupByPrefix(
      static_cast<std::uint32_t>(batch.items.size()),
      [&](std::uint32_t index) { return std::string_view{batch.items[index].prefix_key()}; },
      [&](std::uint32_t index) { return batch.phases[index] == ItemPhase::kWaiting; });
  const BatchKey key(partition.id(), batch.accepted.batch_id());
  const QueuedBatchId queued =
      queue_.AddBatch(batch.accepted.tenant(), BackendOf(batch.accepted.route()), std::move(items));
  queued_[key] = queued;
  queued_keys_[queued] = key;
}

void WorkDispatcher::Dequeue(const BatchKey& key) {
  const auto queued = queued_.find(key);
  if (queued == queued_.end()) {
    return;
  }
  queue_.RemoveBatch(queued->second);
  queued_keys_.erase(queued->second);
  queued_.erase(queued);
}

void WorkDispatcher::ReturnItem(const WorkItemKey& item) {
  const auto queued = queued_.find({item.partition, item.batch_id});
  if (queued != queued_.end()) {
    queue_.ReturnItem(queued->second, item.index);
  }
}

void WorkDispatcher::OnConfiguration() {
  for (const proto::Tenant& tenant : agent_.configuration().tenants()) {
    queue_.SetTenantWeight(tenant.name(), tenant.batch_weight());
  }
  for (const auto& [key, queued] : queued_) {
    const StoredBatch* batch = FindBatch({key.first, key.second, 0});
    if (batch != nullptr) {
      queue_.SetBackend(queued, BackendOf(batch->accepted.route()));
    }
  }
  ServePending();
}

void WorkDispatcher::Cancel(const std::shared_ptr<OwnedPartition>& partition,
                            const std::string& batch_id, const CancelReply& reply) {
  const StoredBatch* batch = partition->store().Find(batch_id);
  if (batch == nullptr) {
    reply(Status(StatusCode::kNotFound, "no batch " + batch_id));
    return;
  }
  const auto answer = [](const StoredBatch& cancelled) {
    proto::CancelBatchResponse response;
    *response.mutable_status() = cancelled.ToStatus();
    return response;
  };
  if (batch->cancelled || batch->AllFinished()) {
    reply(answer(*batch));
    return;
  }
  std::vector<proto::LogEntry> entries(1);
  proto::BatchCancelled& cancelled = *entries[0].mutable_batch_cancelled();
  cancelled.set_batch_id(batch_id);
  cancelled.set_cancelled_at_ms(environment_.WallMilliseconds());
  partition->Log(std::move(entries), [weak = weak_from_this(), partition, batch_id, reply,
                                      answer](const Status& status) {
    const auto self = weak.lock();
    const StoredBatch* pending = partition->store().Find(batch_id);
    if (!status.ok() || self == nullptr || pending == nullptr) {
      reply(status.ok() ? Status(StatusCode::kUnknownOutcome, "the batch is gone") : status);
      return;
    }
    if (pending->cancelled) {
      self->Dequeue({partition->id(), batch_id});
      self->incomplete_cancellations_.emplace(partition->id(), batch_id);
    }
    reply(answer(*pending));
  });
}

void WorkDispatcher::Tick() {
  EndExpiredLeases();
  LogUnknown();
  CompleteCancellations();
}

bool WorkDispatcher::CanCompleteCancellation(const BatchKey& key) const {
  const auto from = cancellation_allowed_from_.find(key.first);
  const WorkItemKey first{key.first, key.second, 0};
  const auto due = unknown_due_.lower_bound(first);
  const bool unknown_left =
      due != unknown_due_.end() && due->partition == key.first && due->batch_id == key.second;
  return from != cancellation_allowed_from_.end() && environment_.Now() >= from->second &&
         !unknown_left && !completing_cancellations_.contains(key) &&
         leases_.CountOf(key.first, key.second) == 0;
}

void WorkDispatcher::CompleteCancellations() {
  std::vector<BatchKey> due;
  for (const BatchKey& key : incomplete_cancellations_) {
    if (CanCompleteCancellation(key)) {
      due.push_back(key);
    }
  }
  for (const BatchKey& key : due) {
    const auto partition = FindPartition(key.first);
    const StoredBatch* batch = FindBatch({key.first, key.second, 0});
    if (batch == nullptr || batch->AllFinished()) {
      incomplete_cancellations_.erase(key);
      continue;
    }
    completing_cancellations_.insert(key);
    std::vector<proto::LogEntry> entries(1);
    entries[0].mutable_batch_cancellation_completed()->set_batch_id(key.second);
    entries[0].mutable_batch_cancellation_completed()->set_completed_at_ms(
        environment_.WallMilliseconds());
    partition->Log(std::move(entries), [weak = weak_from_this(), key](const Status& status) {
      if (const auto self = weak.lock()) {
        self->HandleCancellationLogged(key, status);
      }
    });
  }
}

void WorkDispatcher::HandleCancellationLogged(const BatchKey& key, const Status& status) {
  completing_cancellations_.erase(key);
  if (status.ok()) {
    incomplete_cancellations_.erase(key);
  }
}

}  // namespace cloverbank

#include "work_dispatch/batch_canceller.h"

#include <utility>
#include <vector>

namespace cloverbank {
namespace {

proto::CancelBatchResponse MakeCancelResponse(const StoredBatch& batch) {
  proto::CancelBatchResponse response;
  *response.mutable_status() = batch.ToStatus();
  return response;
}

}  // namespace

BatchCanceller::BatchCanceller(Environment& environment, std::shared_ptr<WorkQueue> queue,
                               std::shared_ptr<const WorkLeases> leases,
                               std::shared_ptr<const UnknownItems> unknown_items)
    : environment_(environment),
      queue_(std::move(queue)),
      leases_(std::move(leases)),
      unknown_items_(std::move(unknown_items)) {}

void BatchCanceller::AddPartition(PartitionId partition) {
  completion_allowed_from_[partition] = environment_.Now() + kWorkLeaseTimeout;
}

void BatchCanceller::RemovePartition(PartitionId partition) {
  std::erase_if(incomplete_,
                [partition](const BatchKey& batch) { return batch.partition == partition; });
  completion_allowed_from_.erase(partition);
}

void BatchCanceller::Cancel(const std::shared_ptr<OwnedPartition>& partition,
                            const std::string& batch_id, const Reply& reply) {
  const StoredBatch* batch = partition->store().Find(batch_id);
  if (batch == nullptr) {
    reply(Status(StatusCode::kNotFound, "there is no batch \"" + batch_id + "\""));
    return;
  }
  if (batch->cancelled || batch->AllFinished()) {
    reply(MakeCancelResponse(*batch));
    return;
  }
  std::vector<proto::LogEntry> entries(1);
  proto::BatchCancelled& cancelled = *entries[0].mutable_batch_cancelled();
  cancelled.set_batch_id(batch_id);
  cancelled.set_cancelled_at_ms(environment_.WallMilliseconds());
  partition->AppendEntries(std::move(entries), [weak = weak_from_this(), partition, batch_id,
                                                reply](const Status& status) {
    const auto self = weak.lock();
    const StoredBatch* current = partition->store().Find(batch_id);
    if (!status.ok() || self == nullptr || current == nullptr) {
      reply(status.ok() ? Status(StatusCode::kUnknownOutcome,
                                 "batch \"" + batch_id +
                                     "\" was removed, or the queue node's incarnation ended, while "
                                     "its cancellation was being logged")
                        : status);
      return;
    }
    if (current->cancelled) {
      self->HandleCancelled(*partition, batch_id);
    }
    reply(MakeCancelResponse(*current));
  });
}

void BatchCanceller::HandleCancelled(const OwnedPartition& partition, const std::string& batch_id) {
  const BatchKey batch{partition.id(), batch_id};
  queue_->Dequeue(batch);
  AddIncomplete(batch);
}

bool BatchCanceller::CanComplete(const BatchKey& batch) const {
  const auto allowed_from = completion_allowed_from_.find(batch.partition);
  return allowed_from != completion_allowed_from_.end() &&
         environment_.Now() >= allowed_from->second && !unknown_items_->HasItemsOf(batch) &&
         !completing_.contains(batch) && leases_->CountLeases(batch.partition, batch.batch_id) == 0;
}

void BatchCanceller::CompleteDue() {
  std::vector<BatchKey> due;
  for (const BatchKey& batch : incomplete_) {
    if (CanComplete(batch)) {
      due.push_back(batch);
    }
  }
  for (const BatchKey& key : due) {
    const StoredBatch* batch = queue_->FindBatch({key.partition, key.batch_id, 0});
    if (batch == nullptr || batch->AllFinished()) {
      incomplete_.erase(key);
    } else {
      LogCompletion(key);
    }
  }
}

void BatchCanceller::LogCompletion(const BatchKey& batch) {
  completing_.insert(batch);
  std::vector<proto::LogEntry> entries(1);
  proto::BatchCancellationCompleted& completed = *entries[0].mutable_batch_cancellation_completed();
  completed.set_batch_id(batch.batch_id);
  completed.set_completed_at_ms(environment_.WallMilliseconds());
  queue_->FindPartition(batch.partition)
      ->AppendEntries(std::move(entries), [weak = weak_from_this(), batch](const Status& status) {
        if (const auto self = weak.lock()) {
          self->HandleCompletionLogged(batch, status);
        }
      });
}

void BatchCanceller::HandleCompletionLogged(const BatchKey& batch, const Status& status) {
  completing_.erase(batch);
  if (status.ok()) {
    incomplete_.erase(batch);
  }
}

}  // namespace cloverbank

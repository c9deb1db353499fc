#include "log_writer/segment_usage.h"

#include <vector>

namespace cloverbank {

const std::string& BatchIdOf(const proto::LogEntry& entry) {
  static const std::string none;
  switch (entry.payload_case()) {
    case proto::LogEntry::kBatchAccepted:
      return entry.batch_accepted().batch_id();
    case proto::LogEntry::kBatchItems:
      return entry.batch_items().batch_id();
    case proto::LogEntry::kItemStarted:
      return entry.item_started().batch_id();
    case proto::LogEntry::kItemFinished:
      return entry.item_finished().batch_id();
    case proto::LogEntry::kBatchCancelled:
      return entry.batch_cancelled().batch_id();
    case proto::LogEntry::kBatchCancellationCompleted:
      return entry.batch_cancellation_completed().batch_id();
    case proto::LogEntry::kBatchRemoved:
      return entry.batch_removed().batch_id();
    default:
      return none;
  }
}

void SegmentUsage::AddEntry(SegmentId segment, const proto::LogEntry& entry) {
  const std::uint64_t partition = entry.partition_tag();
  if (entry.has_partition_watermark() && entry.partition_watermark().discard_earlier()) {
    ++generations_[partition];
    auto batch = batches_.lower_bound({partition, 0, ""});
    while (batch != batches_.end() && batch->first.partition_tag == partition) {
      const auto next = std::next(batch);
      MarkDead(batch->first, batch->second, segment);
      batch = next;
    }
    return;
  }
  const std::string& batch_id = BatchIdOf(entry);
  if (batch_id.empty()) {
    return;
  }
  const BatchKey key{partition, generations_[partition], batch_id};
  BatchUse& use = batches_[key];
  if (entry.has_batch_removed()) {
    MarkDead(key, use, segment);
    return;
  }
  if (use.tombstone.valid()) {
    return;  // A result that was logged after its batch was removed.
  }
  ++use.entries[segment];
  ++live_[segment];
  batches_in_[segment].insert(key);
}

void SegmentUsage::MarkDead(const BatchKey& key, BatchUse& use, SegmentId tombstone) {
  if (use.tombstone.valid()) {
    // A later tombstone takes over from the earlier one.
    --live_[use.tombstone];
  } else {
    for (const auto& [segment, count] : use.entries) {
      live_[segment] -= count;
    }
  }
  use.tombstone = tombstone;
  ++live_[tombstone];
  if (DropUnreferenced(use)) {
    batches_.erase(key);
  }
}

bool SegmentUsage::DropUnreferenced(BatchUse& use) {
  const bool only_beside_tombstone =
      use.entries.empty() || (use.entries.size() == 1 && use.entries.contains(use.tombstone));
  if (only_beside_tombstone) {
    --live_[use.tombstone];
  }
  return only_beside_tombstone;
}

bool SegmentUsage::IsDead(SegmentId segment) const {
  const auto found = live_.find(segment);
  return found == live_.end() || found->second == 0;
}

void SegmentUsage::Forget(SegmentId segment) {
  const auto found = batches_in_.find(segment);
  if (found != batches_in_.end()) {
    for (const BatchKey& key : found->second) {
      const auto batch = batches_.find(key);
      if (batch == batches_.end()) {
        continue;
      }
      batch->second.entries.erase(segment);
      if (batch->second.tombstone.valid() && DropUnreferenced(batch->second)) {
        batches_.erase(batch);
      }
    }
    batches_in_.erase(found);
  }
  live_.erase(segment);
}

}  // namespace cloverbank

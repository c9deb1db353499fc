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
  BatchUsage& usage = batches_[key];
  if (entry.has_batch_removed()) {
    MarkDead(key, usage, segment);
    return;
  }
  if (usage.tombstone.valid()) {
    return;  // A result that was logged after the removal of its batch.
  }
  ++usage.entry_counts[segment];
  ++live_entries_[segment];
  batches_by_segment_[segment].insert(key);
}

void SegmentUsage::MarkDead(const BatchKey& key, BatchUsage& usage, SegmentId tombstone) {
  if (usage.tombstone.valid()) {
    // The later tombstone replaces the earlier one.
    --live_entries_[usage.tombstone];
  } else {
    for (const auto& [segment, count] : usage.entry_counts) {
      live_entries_[segment] -= count;
    }
  }
  usage.tombstone = tombstone;
  ++live_entries_[tombstone];
  if (DropUnneededTombstone(usage)) {
    batches_.erase(key);
  }
}

bool SegmentUsage::DropUnneededTombstone(BatchUsage& usage) {
  const bool only_in_tombstone_segment =
      usage.entry_counts.empty() ||
      (usage.entry_counts.size() == 1 && usage.entry_counts.contains(usage.tombstone));
  if (only_in_tombstone_segment) {
    --live_entries_[usage.tombstone];
  }
  return only_in_tombstone_segment;
}

bool SegmentUsage::IsDead(SegmentId segment) const {
  const auto found = live_entries_.find(segment);
  return found == live_entries_.end() || found->second == 0;
}

void SegmentUsage::Forget(SegmentId segment) {
  const auto found = batches_by_segment_.find(segment);
  if (found != batches_by_segment_.end()) {
    for (const BatchKey& key : found->second) {
      const auto batch = batches_.find(key);
      if (batch == batches_.end()) {
        continue;
      }
      batch->second.entry_counts.erase(segment);
      if (batch->second.tombstone.valid() && DropUnneededTombstone(batch->second)) {
        batches_.erase(batch);
      }
    }
    batches_by_segment_.erase(found);
  }
  live_entries_.erase(segment);
}

}  // namespace cloverbank

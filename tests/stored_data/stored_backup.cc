#include "stored_data/stored_backup.h"

namespace cloverbank::stored_data {
namespace {

constexpr std::uint64_t kFirstPartition = 0;
constexpr std::uint64_t kSecondPartition = 1;
constexpr std::int64_t kAcceptedAtMs = 1'700'000'000'000;

proto::LogEntry MakeEntry(std::uint64_t partition, std::uint64_t sequence) {
  proto::LogEntry entry;
  entry.set_partition_tag(partition + 1);
  entry.set_sequence(sequence);
  return entry;
}

proto::LogEntry MakeWatermark(std::uint64_t partition, std::uint64_t next_sequence) {
  proto::LogEntry entry;
  entry.set_partition_tag(partition + 1);
  entry.mutable_partition_watermark()->set_next_sequence(next_sequence);
  return entry;
}

proto::LogEntry MakeItems(std::uint64_t partition, std::uint64_t sequence, const std::string& batch,
                          int count) {
  proto::LogEntry entry = MakeEntry(partition, sequence);
  entry.mutable_batch_items()->set_batch_id(batch);
  for (int index = 0; index < count; ++index) {
    proto::BatchItem& item = *entry.mutable_batch_items()->add_items();
    item.set_custom_id("item-" + std::to_string(index));
    item.set_prompt("prompt of " + batch);
    item.set_prefix_key("prefix");
    item.set_max_tokens(16);
    item.set_tokens(40);
    item.set_prompt_tokens(24);
    item.set_shared_tokens(8);
  }
  return entry;
}

proto::LogEntry MakeAccepted(std::uint64_t partition, std::uint64_t sequence,
                             const std::string& batch, std::uint64_t count, bool idempotent) {
  proto::LogEntry entry = MakeEntry(partition, sequence);
  proto::BatchAccepted& accepted = *entry.mutable_batch_accepted();
  accepted.set_batch_id(batch);
  accepted.set_tenant("studio");
  accepted.set_idempotency_key("key of " + batch);
  accepted.set_route("audit");
  accepted.set_item_count(count);
  accepted.set_accepted_at_ms(kAcceptedAtMs);
  accepted.set_request_checksum(77);
  accepted.set_idempotent(idempotent);
  return entry;
}

proto::LogEntry MakeStarted(std::uint64_t partition, std::uint64_t sequence,
                            const std::string& batch, std::uint64_t index) {
  proto::LogEntry entry = MakeEntry(partition, sequence);
  entry.mutable_item_started()->set_batch_id(batch);
  entry.mutable_item_started()->set_item_index(index);
  return entry;
}

proto::LogEntry MakeFinished(std::uint64_t partition, std::uint64_t sequence,
                             const std::string& batch, std::uint64_t index,
                             proto::ItemOutcome outcome) {
  proto::LogEntry entry = MakeEntry(partition, sequence);
  proto::ItemFinished& finished = *entry.mutable_item_finished();
  finished.set_batch_id(batch);
  finished.set_item_index(index);
  finished.set_outcome(outcome);
  if (outcome == proto::ITEM_OUTCOME_SUCCEEDED) {
    finished.set_output("output");
  } else {
    finished.set_error("error");
  }
  finished.set_finished_at_ms(kAcceptedAtMs + 50);
  return entry;
}

std::vector<proto::LogEntry> ClosedSegmentEntries() {
  std::vector<proto::LogEntry> entries;
  entries.push_back(MakeWatermark(kFirstPartition, 1));
  entries.push_back(MakeWatermark(kSecondPartition, 1));
  entries.push_back(MakeItems(kFirstPartition, 1, "0-1", 2));
  entries.push_back(MakeAccepted(kFirstPartition, 2, "0-1", 2, false));
  entries.push_back(MakeStarted(kFirstPartition, 3, "0-1", 0));
  entries.push_back(MakeFinished(kFirstPartition, 4, "0-1", 0, proto::ITEM_OUTCOME_SUCCEEDED));
  entries.push_back(MakeItems(kSecondPartition, 1, "1-1", 3));
  entries.push_back(MakeAccepted(kSecondPartition, 2, "1-1", 3, true));
  return entries;
}

std::vector<proto::LogEntry> OpenSegmentEntries() {
  std::vector<proto::LogEntry> entries;
  entries.push_back(MakeWatermark(kFirstPartition, 5));
  entries.push_back(MakeWatermark(kSecondPartition, 3));
  entries.push_back(MakeStarted(kFirstPartition, 5, "0-1", 1));
  entries.push_back(MakeFinished(kFirstPartition, 6, "0-1", 1, proto::ITEM_OUTCOME_FAILED));
  entries.push_back(MakeFinished(kSecondPartition, 3, "1-1", 2, proto::ITEM_OUTCOME_SUCCEEDED));
  proto::LogEntry cancelled = MakeEntry(kSecondPartition, 4);
  cancelled.mutable_batch_cancelled()->set_batch_id("1-1");
  cancelled.mutable_batch_cancelled()->set_cancelled_at_ms(kAcceptedAtMs + 60);
  entries.push_back(cancelled);
  proto::LogEntry completed = MakeEntry(kSecondPartition, 5);
  completed.mutable_batch_cancellation_completed()->set_batch_id("1-1");
  completed.mutable_batch_cancellation_completed()->set_completed_at_ms(kAcceptedAtMs + 70);
  entries.push_back(completed);
  entries.push_back(MakeItems(kFirstPartition, 7, "0-2", 1));
  entries.push_back(MakeAccepted(kFirstPartition, 8, "0-2", 1, true));
  entries.push_back(MakeFinished(kFirstPartition, 9, "0-2", 0, proto::ITEM_OUTCOME_SUCCEEDED));
  proto::LogEntry removed = MakeEntry(kFirstPartition, 10);
  removed.mutable_batch_removed()->set_batch_id("0-2");
  entries.push_back(removed);
  return entries;
}

void WriteSegment(BackupWorld& backup, std::uint64_t segment, std::uint64_t epoch) {
  ASSERT_EQ(backup.Open(segment, epoch), StatusCode::kOk);
  const std::string bytes = SegmentBytes(backup.node, segment);
  ASSERT_EQ(backup.Write(segment, 0, bytes, epoch), StatusCode::kOk);
}

}  // namespace

std::vector<proto::LogEntry> SegmentEntries(std::uint64_t segment) {
  if (segment == kClosedSegment) {
    return ClosedSegmentEntries();
  }
  if (segment == kOpenSegment) {
    return OpenSegmentEntries();
  }
  return {};
}

std::string SegmentBytes(std::uint64_t owner, std::uint64_t segment) {
  std::vector<std::uint64_t> digest{segment};
  if (segment == kOpenSegment) {
    digest.insert(digest.begin(), kClosedSegment);
  }
  std::string bytes = SegmentStart(owner, segment, digest);
  for (const proto::LogEntry& entry : SegmentEntries(segment)) {
    bytes += Framed(segment, entry);
  }
  return bytes;
}

void WriteBackupData(BackupWorld& backup) {
  backup.node = kFencedOwner;
  WriteSegment(backup, kFencedSegment, 1);
  ASSERT_TRUE(backup.StartReading().ok());
  backup.node = kOwner;
  WriteSegment(backup, kClosedSegment, 1);
  const std::string closed = SegmentBytes(kOwner, kClosedSegment);
  ASSERT_EQ(backup.Close(kClosedSegment, closed.size()), StatusCode::kOk);
  WriteSegment(backup, kOpenSegment, 1);
  ASSERT_EQ(backup.SetEpoch(kOpenSegment, kOpenEpoch), StatusCode::kOk);
}

}  // namespace cloverbank::stored_data

#include "log_writer/segment_usage.h"

#include <gtest/gtest.h>

#include "batches/partition_replay.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kTag = 1;

proto::LogEntry Items(const std::string& batch, std::uint64_t sequence = 0) {
  proto::LogEntry entry;
  entry.set_partition_tag(kTag);
  entry.set_sequence(sequence);
  entry.mutable_batch_items()->set_batch_id(batch);
  return entry;
}
proto::LogEntry Accepted(const std::string& batch, std::uint64_t sequence) {
  proto::LogEntry entry = Items(batch, sequence);
  entry.mutable_batch_accepted()->set_batch_id(batch);
  return entry;
}
proto::LogEntry Removed(const std::string& batch, std::uint64_t sequence = 0) {
  proto::LogEntry entry = Items(batch, sequence);
  entry.mutable_batch_removed()->set_batch_id(batch);
  return entry;
}
proto::LogEntry Watermark(bool discard, std::uint64_t next = 0) {
  proto::LogEntry entry;
  entry.set_partition_tag(kTag);
  entry.mutable_partition_watermark()->set_discard_earlier(discard);
  entry.mutable_partition_watermark()->set_next_sequence(next);
  return entry;
}

TEST(SegmentUsageTest, TombstoneIsLiveWhileEarlierSegmentsHaveItsEntries) {
  SegmentUsage usage;
  usage.AddEntry(SegmentId(1), Items("a"));
  usage.AddEntry(SegmentId(2), Items("a"));
  usage.AddEntry(SegmentId(2), Items("b"));
  usage.AddEntry(SegmentId(3), Removed("a"));
  EXPECT_TRUE(usage.IsDead(SegmentId(1)));
  EXPECT_FALSE(usage.IsDead(SegmentId(2)));
  EXPECT_FALSE(usage.IsDead(SegmentId(3)));
  usage.Forget(SegmentId(1));
  EXPECT_FALSE(usage.IsDead(SegmentId(3)));  // Segment 2 still has an entry of "a".
  usage.AddEntry(SegmentId(3), Removed("b"));
  usage.Forget(SegmentId(2));
  EXPECT_TRUE(usage.IsDead(SegmentId(3)));
}

TEST(SegmentUsageTest, LateResultOfARemovedBatchIsDead) {
  SegmentUsage usage;
  usage.AddEntry(SegmentId(1), Items("a"));
  usage.AddEntry(SegmentId(2), Removed("a"));
  usage.AddEntry(SegmentId(3), Items("a"));
  EXPECT_TRUE(usage.IsDead(SegmentId(3)));
}

TEST(SegmentUsageTest, DiscardingWatermarkVoidsEarlierEntries) {
  SegmentUsage usage;
  usage.AddEntry(SegmentId(1), Items("a"));
  usage.AddEntry(SegmentId(2), Watermark(true));
  usage.AddEntry(SegmentId(2), Items("a"));
  usage.AddEntry(SegmentId(3), Items("a"));
  EXPECT_TRUE(usage.IsDead(SegmentId(1)));
  EXPECT_FALSE(usage.IsDead(SegmentId(3)));  // Logged again after the watermark.
  usage.AddEntry(SegmentId(4), Removed("a"));
  EXPECT_TRUE(usage.IsDead(SegmentId(3)));
  EXPECT_FALSE(usage.IsDead(SegmentId(2)));  // Its watermark still voids segment 1.
  usage.Forget(SegmentId(1));
  EXPECT_TRUE(usage.IsDead(SegmentId(2)));
}

TEST(PartitionReplayTest, OrdersEntriesAndDropsDeadOnes) {
  PartitionReplay replay;
  replay.Add(Accepted("void", 90));
  replay.Add(Watermark(true));
  replay.Add(Items("b", 3));
  replay.Add(Accepted("b", 4));
  replay.Add(Items("a", 1));
  replay.Add(Accepted("a", 2));
  replay.Add(Items("a", 1));
  replay.Add(Items("never accepted", 5));
  replay.Add(Removed("b", 6));
  std::vector<std::uint64_t> sequences;
  for (const proto::LogEntry& entry : replay.TakeEntries()) {
    sequences.push_back(entry.sequence());
  }
  EXPECT_EQ(sequences, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(replay.next_sequence(), PartitionSequence(7));
}

TEST(PartitionReplayTest, SequencesOfCleanedEntriesAreNotReused) {
  PartitionReplay replay;
  replay.Add(Accepted("a", 2));
  replay.Add(Watermark(false, 40));
  EXPECT_EQ(replay.next_sequence(), PartitionSequence(40));
}

}  // namespace
}  // namespace cloverbank

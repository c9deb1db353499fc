#include "log_format/segment_format.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr SegmentId kSegment(7);

proto::LogEntry MakeEntry(std::uint64_t partition_tag, std::uint64_t sequence) {
  proto::LogEntry entry;
  entry.set_partition_tag(partition_tag);
  entry.set_sequence(sequence);
  return entry;
}

std::string EncodeThreeEntries() {
  std::string bytes;
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    EXPECT_EQ(FramedEntryBytes(MakeEntry(1, sequence)),
              AppendEntry(&bytes, kSegment, MakeEntry(1, sequence)));
  }
  return bytes;
}

TEST(SegmentFormatTest, EntryIsFramedWithLengthAndChecksum) {
  std::string bytes;
  ASSERT_EQ(AppendEntry(&bytes, kSegment, MakeEntry(1, 2)), 16U);
  // Length 4, XXH3 with seed 7, then partition_tag = 1 and sequence = 2 as protobuf varints.
  EXPECT_EQ(bytes.substr(0, 4), std::string("\x04\x00\x00\x00", 4));
  EXPECT_EQ(bytes.substr(12), std::string("\x08\x01\x10\x02", 4));
}

TEST(SegmentFormatTest, ReadsBackAppendedEntries) {
  const std::string bytes = EncodeThreeEntries();
  SegmentReader reader(kSegment, bytes);
  proto::LogEntry entry;
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    ASSERT_TRUE(reader.Next(&entry));
    EXPECT_EQ(entry.sequence(), sequence);
  }
  EXPECT_FALSE(reader.Next(&entry));
  EXPECT_EQ(reader.tail(), RecordTail::kClean);
  EXPECT_EQ(reader.valid_length(), bytes.size());
}

TEST(SegmentFormatTest, ScanStopsAtReservedSpace) {
  const std::string bytes = EncodeThreeEntries();
  const SegmentScan scan = ScanSegment(kSegment, bytes + std::string(100, '\0'));
  EXPECT_EQ(scan.tail, RecordTail::kReserved);
  EXPECT_EQ(scan.valid_length, bytes.size());
  EXPECT_EQ(scan.entry_count, 3U);
}

TEST(SegmentFormatTest, ScanDetectsTruncationAtEveryByte) {
  const std::string bytes = EncodeThreeEntries();
  const std::size_t entry_bytes = bytes.size() / 3;
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const SegmentScan scan = ScanSegment(kSegment, bytes.substr(0, length));
    EXPECT_EQ(scan.valid_length, length / entry_bytes * entry_bytes);
    EXPECT_EQ(scan.tail, length % entry_bytes == 0 ? RecordTail::kClean : RecordTail::kTorn);
  }
}

TEST(SegmentFormatTest, ScanDetectsEveryFlippedBit) {
  const std::string bytes = EncodeThreeEntries();
  const std::size_t entry_bytes = bytes.size() / 3;
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string damaged = bytes;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    const SegmentScan scan = ScanSegment(kSegment, damaged);
    EXPECT_EQ(scan.valid_length, bit / 8 / entry_bytes * entry_bytes) << "bit " << bit;
  }
}

TEST(SegmentFormatTest, ScanRejectsEntriesOfAnotherSegment) {
  EXPECT_EQ(ScanSegment(SegmentId(8), EncodeThreeEntries()).valid_length, 0U);
}

TEST(SegmentFormatTest, ReportsUndecodableEntryAsCorrupt) {
  std::string bytes;
  AppendRecord(bytes, "\xFF", kSegment.value());
  SegmentReader reader(kSegment, bytes);
  proto::LogEntry entry;
  EXPECT_FALSE(reader.Next(&entry));
  EXPECT_EQ(reader.tail(), RecordTail::kCorrupt);
  EXPECT_EQ(reader.valid_length(), 0U);
}

TEST(SegmentFormatTest, SegmentStartsWithHeaderThenDigest) {
  const std::string start = EncodeSegmentStart(NodeId(9), kSegment, {SegmentId(5), kSegment});
  SegmentReader reader(kSegment, start);
  proto::LogEntry entry;
  ASSERT_TRUE(reader.Next(&entry));
  EXPECT_EQ(entry.segment_header().node_id(), 9U);
  EXPECT_EQ(entry.segment_header().segment_id(), kSegment.value());
  ASSERT_TRUE(reader.Next(&entry));
  EXPECT_EQ(entry.log_digest().segment_ids_size(), 2);
  EXPECT_FALSE(reader.Next(&entry));
  EXPECT_EQ(FindLogDigest(kSegment, start), (std::vector<std::uint64_t>{5, 7}));
}

TEST(SegmentFormatTest, FindLogDigestIsEmptyWithoutDigest) {
  EXPECT_TRUE(FindLogDigest(kSegment, EncodeThreeEntries()).empty());
}

}  // namespace
}  // namespace cloverbank

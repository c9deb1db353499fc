#include "backup/segment_file.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "backup/segment_dump.h"
#include "backup/segment_messages.h"

namespace cloverbank {
namespace {

ReplicaHeader HeaderWithGeneration(std::uint64_t generation) {
  ReplicaHeader header;
  header.key = {NodeId(0x0102030405060708), SegmentId(3)};
  header.epoch = HeadEpoch(4);
  header.state = ReplicaState::kClosed;
  header.capacity = 65536;
  header.length = 20;
  header.generation = generation;
  return header;
}

TEST(SegmentFileTest, EncodesHeaderAsDocumented) {
  const std::string bytes = EncodeReplicaHeader(HeaderWithGeneration(7));
  ASSERT_EQ(bytes.size(), 72U);
  EXPECT_EQ(bytes.substr(0, 8), "CBSEGMNT");
  EXPECT_EQ(bytes.substr(8, 8), std::string("\x01\0\0\0\x03\0\0\0", 8));
  EXPECT_EQ(bytes.substr(16, 8), "\x08\x07\x06\x05\x04\x03\x02\x01");
  EXPECT_EQ(bytes[24], 3);
  EXPECT_EQ(bytes[32], 4);
  EXPECT_EQ(bytes.substr(40, 8), std::string("\0\0\x01\0\0\0\0\0", 8));
  EXPECT_EQ(bytes[48], 20);
  EXPECT_EQ(bytes[56], 7);
  EXPECT_EQ(*DecodeReplicaHeader(bytes), HeaderWithGeneration(7));
}

TEST(SegmentFileTest, TornHeaderLeavesPreviousOne) {
  std::string file = EncodeFirstHeader(HeaderWithGeneration(1)) + "data";
  const std::string next = EncodeReplicaHeader(HeaderWithGeneration(2));
  for (std::size_t written = 0; written <= next.size(); ++written) {
    std::string torn = file;
    torn.replace(HeaderSlotOffset(2), written, next.substr(0, written));
    const bool complete = *ReadReplicaHeader(torn) == HeaderWithGeneration(2);
    EXPECT_EQ(complete, written == next.size());
    EXPECT_TRUE(complete || *ReadReplicaHeader(torn) == HeaderWithGeneration(1));
  }
  EXPECT_NE(HeaderSlotOffset(2), HeaderSlotOffset(3));
}

TEST(SegmentFileTest, DistinguishesUnfinishedFromDamagedFile) {
  EXPECT_EQ(ReadReplicaHeader("").status().code(), StatusCode::kNotFound);
  EXPECT_EQ(ReadReplicaHeader(std::string(10000, '\0')).status().code(), StatusCode::kNotFound);
  std::string damaged(kSegmentDataOffset, '\0');
  damaged += "data";
  EXPECT_EQ(ReadReplicaHeader(damaged).status().code(), StatusCode::kCorrupt);
}

TEST(SegmentFileTest, FileNamesRoundTrip) {
  const ReplicaKey key{NodeId(12), SegmentId(7)};
  EXPECT_EQ(SegmentFileName(key), "segments/12-7");
  EXPECT_EQ(ParseSegmentFileName("12-7"), key);
  for (const char* invalid_name : {"12", "12-", "-7", "0-7", "12-7x", "12-7.tmp"}) {
    EXPECT_EQ(ParseSegmentFileName(invalid_name), std::nullopt) << invalid_name;
  }
}

class SegmentDumpTest : public testing::Test {
 protected:
  SegmentDumpTest() {
    const std::string content = SegmentStart(5, 3, {2, 3}) + Framed(3, NumberedEntry(4, 11));
    ReplicaHeader header = HeaderWithGeneration(1);
    header.length = content.size();
    file_ = EncodeFirstHeader(header) + content;
  }
  std::string file_;
};

TEST_F(SegmentDumpTest, ChecksEntriesAndDigest) {
  const SegmentFileCheck check = CheckSegmentFile(file_);
  EXPECT_TRUE(check.status.ok()) << check.status.ToString();
  EXPECT_EQ(check.entry_count, 3U);
  EXPECT_THAT(check.digest, testing::ElementsAre(2, 3));
}

TEST_F(SegmentDumpTest, PrintsEntries) {
  EXPECT_THAT(PrintSegmentFile(file_),
              testing::HasSubstr("partition 4 sequence 11 batch_cancelled"));
}

TEST_F(SegmentDumpTest, ReportsDamagedEntry) {
  file_.back() = static_cast<char>(file_.back() ^ 1);
  EXPECT_EQ(CheckSegmentFile(file_).status.code(), StatusCode::kCorrupt);
  EXPECT_THAT(PrintSegmentFile(file_), testing::HasSubstr("tail torn"));
}

}  // namespace
}  // namespace cloverbank

#include "log_writer/segment_content.h"

#include <gtest/gtest.h>

#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

constexpr SegmentId kSegment(7);
constexpr std::uint64_t kCapacity = 200;

class SegmentContentTest : public testing::Test {
 protected:
  SegmentContentTest() {
    entry_.set_partition_tag(1);
    entry_.set_sequence(2);
    entry_bytes_ = FramedEntryBytes(entry_);
  }

  proto::LogEntry entry_;
  std::uint64_t entry_bytes_ = 0;
  SegmentContent content_{kSegment, "", kCapacity};
};

TEST_F(SegmentContentTest, FitsUpToItsCapacity) {
  content_.Append(entry_);
  EXPECT_EQ(content_.length(), entry_bytes_);
  EXPECT_TRUE(content_.Fits(kCapacity - entry_bytes_));
  EXPECT_FALSE(content_.Fits(kCapacity - entry_bytes_ + 1));
}

TEST_F(SegmentContentTest, AppendsFramedEntries) {
  content_.Append(entry_);
  content_.Append(entry_);
  EXPECT_EQ(ScanSegment(kSegment, content_.bytes()).entry_count, 2U);
}

TEST_F(SegmentContentTest, WriteEndsAfterLastEntryThatFits) {
  for (int i = 0; i < 3; ++i) {
    content_.Append(entry_);
  }
  EXPECT_EQ(content_.FindWriteEnd(0, entry_bytes_ * 2 + 1), entry_bytes_ * 2);
  EXPECT_EQ(content_.FindWriteEnd(entry_bytes_, entry_bytes_), entry_bytes_ * 2);
  EXPECT_EQ(content_.FindWriteEnd(0, kCapacity), content_.length());
}

TEST_F(SegmentContentTest, WriteHasOneEntryEvenAboveTheLimit) {
  content_.Append(entry_);
  content_.Append(entry_);
  EXPECT_EQ(content_.FindWriteEnd(0, 1), entry_bytes_);
}

}  // namespace
}  // namespace cloverbank

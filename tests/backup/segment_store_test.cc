#include "backup/segment_store.h"

#include <gtest/gtest.h>

#include "backup/segment_messages.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kNode = 9;
constexpr std::uint64_t kSegment = 3;
constexpr std::uint64_t kFreeBytes = 1ULL << 30U;
constexpr ReplicaKey kKey{NodeId(kNode), SegmentId(kSegment)};

/// Applies each decided change immediately, as if every disk write completed at once.
class SegmentStoreTest : public testing::Test {
 protected:
  Status Apply(Result<ReplicaChange> decided) {
    if (!decided.ok()) {
      return decided.status();
    }
    last_change_ = *decided;
    store_.Apply(kKey, *decided, now_);
    return Status::Ok();
  }
  Status Open(std::uint64_t epoch, std::uint64_t capacity = 4096) {
    return Apply(store_.Open(OpenRequest(kNode, kSegment, epoch, capacity), free_bytes_, now_));
  }
  Status Write(std::uint64_t offset, const std::string& data, std::uint64_t epoch = 1,
               ReplacementPart part = ReplacementPart::kNone) {
    return Apply(store_.Write(WriteRequest(kNode, kSegment, offset, data, epoch, part)));
  }
  Status SetEpoch(std::uint64_t epoch) {
    return Apply(store_.SetEpoch(EpochRequest(kNode, kSegment, epoch)));
  }
  Status Close(std::uint64_t length) {
    return Apply(store_.Close(CloseRequest(kNode, kSegment, length)));
  }
  Status Free() {
    return Apply(store_.Free(SegmentRequest<proto::FreeSegmentRequest>(kNode, kSegment)));
  }
  const Replica& replica() const { return *store_.Find(kKey); }

  SegmentStoreOptions options_;
  SegmentStore store_{options_};
  std::uint64_t free_bytes_ = kFreeBytes;
  TimePoint now_;
  ReplicaChange last_change_;
  const std::string first_entry_ = Framed(kSegment, NumberedEntry(0, 1));
  const std::string second_entry_ = Framed(kSegment, NumberedEntry(0, 2));
};

TEST_F(SegmentStoreTest, RefusesCallsOnUnknownSegment) {
  EXPECT_EQ(Write(0, first_entry_).code(), StatusCode::kNotFound);
  EXPECT_EQ(SetEpoch(1).code(), StatusCode::kNotFound);
  EXPECT_EQ(Close(0).code(), StatusCode::kNotFound);
  EXPECT_TRUE(Free().ok());
}

TEST_F(SegmentStoreTest, RepeatedCallsChangeNothing) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Open(1).ok());
  EXPECT_FALSE(last_change_.create);
  ASSERT_TRUE(Write(0, first_entry_).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  EXPECT_TRUE(last_change_.data.empty());
  ASSERT_TRUE(Write(0, first_entry_ + second_entry_).ok());
  EXPECT_EQ(last_change_.data, second_entry_);
  EXPECT_EQ(replica().staging, first_entry_ + second_entry_);
  const std::uint64_t length = replica().length;
  ASSERT_TRUE(Close(length).ok());
  ASSERT_TRUE(Close(length).ok());
  EXPECT_FALSE(last_change_.header);
  EXPECT_EQ(replica().staging.capacity(), std::string().capacity());
}

TEST_F(SegmentStoreTest, RefusesInvalidWrites) {
  ASSERT_TRUE(Open(1, first_entry_.size() + second_entry_.size()).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  const Status gap = Write(first_entry_.size() + 1, second_entry_);
  EXPECT_EQ(gap.code(), StatusCode::kConflict);
  EXPECT_EQ(gap.detail(), std::to_string(first_entry_.size()));
  EXPECT_EQ(Write(0, second_entry_).code(), StatusCode::kCorrupt);
  EXPECT_EQ(Write(first_entry_.size(), second_entry_.substr(0, 20)).code(), StatusCode::kCorrupt);
  EXPECT_EQ(Write(first_entry_.size(), second_entry_ + second_entry_).code(),
            StatusCode::kResourceExhausted);
  EXPECT_EQ(replica().length, first_entry_.size());
}

TEST_F(SegmentStoreTest, ClosedSegmentRefusesWritesWithItsLength) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  EXPECT_EQ(Close(first_entry_.size() + 1).code(), StatusCode::kConflict);
  ASSERT_TRUE(Close(first_entry_.size()).ok());
  for (const Status& status :
       {Write(first_entry_.size(), second_entry_), Open(2), Write(0, first_entry_)}) {
    EXPECT_EQ(status.code(), StatusCode::kConflict);
    EXPECT_EQ(status.detail(), std::to_string(first_entry_.size()));
  }
}

TEST_F(SegmentStoreTest, RefusesStaleEpochs) {
  ASSERT_TRUE(Open(2).ok());
  ASSERT_TRUE(Write(0, first_entry_, 2).ok());
  ASSERT_TRUE(SetEpoch(3).ok());
  EXPECT_TRUE(SetEpoch(3).ok());
  EXPECT_EQ(SetEpoch(2).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(Write(first_entry_.size(), second_entry_, 2).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(Open(2).code(), StatusCode::kStaleEpoch);
}

TEST_F(SegmentStoreTest, WriteWithNewerEpochSyncsHeaderBeforeData) {
  ASSERT_TRUE(Open(2).ok());
  ASSERT_TRUE(Write(0, first_entry_, 2).ok());
  ASSERT_TRUE(Write(first_entry_.size(), second_entry_, 5).ok());
  ASSERT_TRUE(last_change_.header_before);
  EXPECT_EQ(last_change_.header_before->epoch, HeadEpoch(5));
  EXPECT_EQ(replica().header.epoch, HeadEpoch(5));
}

TEST_F(SegmentStoreTest, HidesReplacementUntilComplete) {
  ASSERT_TRUE(Open(2).ok());
  EXPECT_FALSE(replica().IsOffered());
  ASSERT_TRUE(Write(0, first_entry_.substr(0, 7), 2, ReplacementPart::kPartial).ok());
  EXPECT_EQ(last_change_.header_before->state, ReplicaState::kReplacing);
  EXPECT_FALSE(replica().IsOffered());
  EXPECT_EQ(Write(7, first_entry_.substr(7), 2).code(), StatusCode::kConflict);
  EXPECT_EQ(Close(7).code(), StatusCode::kConflict);
  EXPECT_EQ(Write(7, first_entry_.substr(7, 5), 2, ReplacementPart::kLast).code(),
            StatusCode::kCorrupt);
  ASSERT_TRUE(Write(7, first_entry_.substr(7), 3, ReplacementPart::kLast).ok());
  EXPECT_TRUE(replica().IsOffered());
  EXPECT_EQ(replica().header.epoch, HeadEpoch(3));
  EXPECT_TRUE(Write(first_entry_.size(), second_entry_, 3).ok());
}

TEST_F(SegmentStoreTest, ReplacementKeepsOlderContentOffered) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  ASSERT_TRUE(Open(2).ok());
  EXPECT_EQ(Write(first_entry_.size(), second_entry_, 1).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(Write(first_entry_.size(), second_entry_, 2).code(), StatusCode::kConflict);
  ASSERT_TRUE(
      Write(0, first_entry_ + second_entry_.substr(0, 5), 2, ReplacementPart::kPartial).ok());
  EXPECT_TRUE(replica().IsOffered());
  EXPECT_EQ(replica().header.epoch, HeadEpoch(1));
  ASSERT_TRUE(
      Write(first_entry_.size() + 5, second_entry_.substr(5), 2, ReplacementPart::kLast).ok());
  EXPECT_EQ(replica().header.epoch, HeadEpoch(2));
  EXPECT_EQ(replica().staging, first_entry_ + second_entry_);
}

TEST_F(SegmentStoreTest, RefusesEveryCallOfFencedNode) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  store_.Fence(NodeId(kNode));
  for (const Status& status : {Open(2), Write(first_entry_.size(), second_entry_), SetEpoch(2),
                               Close(first_entry_.size()), Free()}) {
    EXPECT_EQ(status.code(), StatusCode::kFenced);
  }
}

TEST_F(SegmentStoreTest, SealedReplicaIsOffered) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  store_.Fence(NodeId(kNode));
  ASSERT_TRUE(Apply(store_.Seal(kKey, first_entry_.size())).ok());
  EXPECT_EQ(replica().header.state, ReplicaState::kSealed);
  EXPECT_TRUE(replica().IsOffered());
}

TEST_F(SegmentStoreTest, DelayedOpenDoesNotRecreateFreedSegment) {
  ASSERT_TRUE(Open(2).ok());
  ASSERT_TRUE(Write(0, first_entry_, 2).ok());
  ASSERT_TRUE(Free().ok());
  EXPECT_EQ(Open(2).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(Write(0, first_entry_, 2).code(), StatusCode::kNotFound);
  EXPECT_TRUE(Open(3).ok());
  ASSERT_TRUE(Free().ok());
  now_ += options_.freed_segment_retention;
  EXPECT_TRUE(Open(2).ok());
}

TEST_F(SegmentStoreTest, RefusesOpenWhenDiskIsNearlyFull) {
  free_bytes_ = options_.spare_disk_bytes;
  EXPECT_EQ(Open(1).code(), StatusCode::kResourceExhausted);
}

TEST_F(SegmentStoreTest, RefusesOpenWithTooLargeCapacity) {
  EXPECT_EQ(Open(1, options_.maximum_segment_bytes + 1).code(), StatusCode::kInvalidArgument);
}

TEST_F(SegmentStoreTest, RefusesOpenWhenStagingMemoryIsFull) {
  Status status;
  for (std::uint64_t segment = 1; status.ok(); ++segment) {
    const auto request = OpenRequest(kNode, segment, 1, options_.maximum_segment_bytes);
    status = store_.Open(request, kFreeBytes, now_)
                 .status();  // Not applied, so the open stays in progress.
  }
  EXPECT_EQ(status.code(), StatusCode::kResourceExhausted);
  EXPECT_EQ(store_.staging_bytes(), options_.staging_bytes);
}

TEST_F(SegmentStoreTest, RefusesWritesAfterFailedWriteAndKeepsSyncedData) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  store_.Abandon(kKey, ReplicaChange());
  EXPECT_EQ(Write(first_entry_.size(), second_entry_).code(), StatusCode::kIoError);
  EXPECT_EQ(Open(2).code(), StatusCode::kIoError);
  EXPECT_TRUE(replica().IsOffered());
}

TEST_F(SegmentStoreTest, DamagedReplicaCanBeOpenedAgain) {
  ASSERT_TRUE(Open(1).ok());
  ASSERT_TRUE(Write(0, first_entry_).ok());
  ASSERT_TRUE(Close(first_entry_.size()).ok());
  store_.SetCorrupt(kKey);
  EXPECT_FALSE(replica().IsOffered());
  ASSERT_TRUE(Open(1).ok());
  EXPECT_TRUE(last_change_.remove && last_change_.create);
  EXPECT_EQ(replica().length, 0U);
  EXPECT_TRUE(Write(0, first_entry_, 1, ReplacementPart::kLast).ok());
  EXPECT_TRUE(replica().IsOffered());
}

}  // namespace
}  // namespace cloverbank

#include "backup/segment_store.h"

#include <gtest/gtest.h>

#include "backup/segment_messages.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kNode = 9;
constexpr std::uint64_t kSegment = 3;
constexpr std::uint64_t kFreeBytes = 1ULL << 30U;
constexpr ReplicaKey kKey{NodeId(kNode), SegmentId(kSegment)};

/// The core with calls whose changes are applied at once, as if the disk were immediate.
struct Core {
  Status Do(Result<ReplicaChange> decided) {
    if (!decided.ok()) {
      return decided.status();
    }
    last = *decided;
    store.Apply(kKey, *decided, now);
    return Status::Ok();
  }
  Status Open(std::uint64_t epoch, std::uint64_t capacity = 4096) {
    return Do(store.Open(OpenRequest(kNode, kSegment, epoch, capacity), free_bytes, now));
  }
  Status Write(std::uint64_t offset, const std::string& data, std::uint64_t epoch = 1,
               ReplacementPart part = ReplacementPart::kNone) {
    return Do(store.Write(WriteRequest(kNode, kSegment, offset, data, epoch, part)));
  }
  Status SetEpoch(std::uint64_t epoch) {
    return Do(store.SetEpoch(EpochRequest(kNode, kSegment, epoch)));
  }
  Status Close(std::uint64_t length) {
    return Do(store.Close(CloseRequest(kNode, kSegment, length)));
  }
  Status Free() {
    return Do(store.Free(SegmentRequest<proto::FreeSegmentRequest>(kNode, kSegment)));
  }
  const Replica& replica() const { return *store.Find(kKey); }

  SegmentStoreOptions options;
  SegmentStore store{options};
  std::uint64_t free_bytes = kFreeBytes;
  TimePoint now;
  ReplicaChange last;
  const std::string one = Framed(kSegment, NumberedEntry(0, 1));
  const std::string two = Framed(kSegment, NumberedEntry(0, 2));
};

TEST(SegmentStoreTest, RefusesCallsOnUnknownSegment) {
  Core core;
  EXPECT_EQ(core.Write(0, core.one).code(), StatusCode::kNotFound);
  EXPECT_EQ(core.SetEpoch(1).code(), StatusCode::kNotFound);
  EXPECT_EQ(core.Close(0).code(), StatusCode::kNotFound);
  EXPECT_TRUE(core.Free().ok());
}

TEST(SegmentStoreTest, RepeatedCallsChangeNothing) {
  Core core;
  ASSERT_TRUE(core.Open(1).ok());
  ASSERT_TRUE(core.Open(1).ok());
  EXPECT_FALSE(core.last.create);
  ASSERT_TRUE(core.Write(0, core.one).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  EXPECT_TRUE(core.last.data.empty());
  ASSERT_TRUE(core.Write(0, core.one + core.two).ok());
  EXPECT_EQ(core.last.data, core.two);
  EXPECT_EQ(core.replica().staging, core.one + core.two);
  const std::uint64_t length = core.replica().length;
  ASSERT_TRUE(core.Close(length).ok());
  ASSERT_TRUE(core.Close(length).ok());
  EXPECT_FALSE(core.last.header);
  EXPECT_EQ(core.replica().staging.capacity(), std::string().capacity());
}

TEST(SegmentStoreTest, RefusesInvalidWrites) {
  Core core;
  ASSERT_TRUE(core.Open(1, core.one.size() + core.two.size()).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  const Status gap = core.Write(core.one.size() + 1, core.two);
  EXPECT_EQ(gap.code(), StatusCode::kConflict);
  EXPECT_EQ(gap.detail(), std::to_string(core.one.size()));
  EXPECT_EQ(core.Write(0, core.two).code(), StatusCode::kCorrupt);
  EXPECT_EQ(core.Write(core.one.size(), core.two.substr(0, 20)).code(), StatusCode::kCorrupt);
  EXPECT_EQ(core.Write(core.one.size(), core.two + core.two).code(),
            StatusCode::kResourceExhausted);
  EXPECT_EQ(core.replica().length, core.one.size());
}

TEST(SegmentStoreTest, ClosedSegmentRefusesWritesWithItsLength) {
  Core core;
  ASSERT_TRUE(core.Open(1).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  EXPECT_EQ(core.Close(core.one.size() + 1).code(), StatusCode::kConflict);
  ASSERT_TRUE(core.Close(core.one.size()).ok());
  for (const Status& status :
       {core.Write(core.one.size(), core.two), core.Open(2), core.Write(0, core.one)}) {
    EXPECT_EQ(status.code(), StatusCode::kConflict);
    EXPECT_EQ(status.detail(), std::to_string(core.one.size()));
  }
}

TEST(SegmentStoreTest, RefusesStaleEpochs) {
  Core core;
  ASSERT_TRUE(core.Open(2).ok());
  ASSERT_TRUE(core.Write(0, core.one, 2).ok());
  ASSERT_TRUE(core.SetEpoch(3).ok());
  EXPECT_TRUE(core.SetEpoch(3).ok());
  EXPECT_EQ(core.SetEpoch(2).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(core.Write(core.one.size(), core.two, 2).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(core.Open(2).code(), StatusCode::kStaleEpoch);
  // A write under a later epoch raises it before its bytes.
  ASSERT_TRUE(core.Write(core.one.size(), core.two, 5).ok());
  ASSERT_TRUE(core.last.header_before);
  EXPECT_EQ(core.last.header_before->epoch, HeadEpoch(5));
  EXPECT_EQ(core.replica().header.epoch, HeadEpoch(5));
}

TEST(SegmentStoreTest, HidesReplacementUntilComplete) {
  Core core;
  ASSERT_TRUE(core.Open(2).ok());
  EXPECT_FALSE(core.replica().IsOffered());
  ASSERT_TRUE(core.Write(0, core.one.substr(0, 7), 2, ReplacementPart::kPartial).ok());
  EXPECT_EQ(core.last.header_before->state, ReplicaState::kReplacing);
  EXPECT_FALSE(core.replica().IsOffered());
  EXPECT_EQ(core.Write(7, core.one.substr(7), 2).code(), StatusCode::kConflict);
  EXPECT_EQ(core.Close(7).code(), StatusCode::kConflict);
  EXPECT_EQ(core.Write(7, core.one.substr(7, 5), 2, ReplacementPart::kLast).code(),
            StatusCode::kCorrupt);
  ASSERT_TRUE(core.Write(7, core.one.substr(7), 3, ReplacementPart::kLast).ok());
  EXPECT_TRUE(core.replica().IsOffered());
  EXPECT_EQ(core.replica().header.epoch, HeadEpoch(3));
  EXPECT_TRUE(core.Write(core.one.size(), core.two, 3).ok());
}

TEST(SegmentStoreTest, ReplacementKeepsOlderContentOffered) {
  Core core;
  ASSERT_TRUE(core.Open(1).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  ASSERT_TRUE(core.Open(2).ok());
  EXPECT_EQ(core.Write(core.one.size(), core.two, 1).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(core.Write(core.one.size(), core.two, 2).code(), StatusCode::kConflict);
  ASSERT_TRUE(core.Write(0, core.one + core.two.substr(0, 5), 2, ReplacementPart::kPartial).ok());
  EXPECT_TRUE(core.replica().IsOffered());
  EXPECT_EQ(core.replica().header.epoch, HeadEpoch(1));
  ASSERT_TRUE(core.Write(core.one.size() + 5, core.two.substr(5), 2, ReplacementPart::kLast).ok());
  EXPECT_EQ(core.replica().header.epoch, HeadEpoch(2));
  EXPECT_EQ(core.replica().staging, core.one + core.two);
}

TEST(SegmentStoreTest, FencedNodeIsRefusedEveryCall) {
  Core core;
  ASSERT_TRUE(core.Open(1).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  core.store.Fence(NodeId(kNode));
  for (const Status& status : {core.Open(2), core.Write(core.one.size(), core.two),
                               core.SetEpoch(2), core.Close(core.one.size()), core.Free()}) {
    EXPECT_EQ(status.code(), StatusCode::kFenced);
  }
  ASSERT_TRUE(core.Do(core.store.Seal(kKey, core.one.size())).ok());
  EXPECT_EQ(core.replica().header.state, ReplicaState::kSealed);
  EXPECT_TRUE(core.replica().IsOffered());
}

TEST(SegmentStoreTest, DelayedOpenDoesNotRecreateFreedSegment) {
  Core core;
  ASSERT_TRUE(core.Open(2).ok());
  ASSERT_TRUE(core.Write(0, core.one, 2).ok());
  ASSERT_TRUE(core.Free().ok());
  EXPECT_EQ(core.Open(2).code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(core.Write(0, core.one, 2).code(), StatusCode::kNotFound);
  EXPECT_TRUE(core.Open(3).ok());
  ASSERT_TRUE(core.Free().ok());
  core.now += core.options.freed_memory;
  EXPECT_TRUE(core.Open(2).ok());
}

TEST(SegmentStoreTest, OpensAreBoundedByDiskSpace) {
  Core core;
  core.free_bytes = core.options.spare_disk_bytes;
  EXPECT_EQ(core.Open(1).code(), StatusCode::kResourceExhausted);
  core.free_bytes = kFreeBytes;
  EXPECT_EQ(core.Open(1, core.options.maximum_segment_bytes + 1).code(),
            StatusCode::kInvalidArgument);
  Status status;
  for (std::uint64_t segment = 1; status.ok(); ++segment) {
    const auto request = OpenRequest(kNode, segment, 1, core.options.maximum_segment_bytes);
    status = core.store.Open(request, kFreeBytes, core.now).status();  // Still under way.
  }
  EXPECT_EQ(status.code(), StatusCode::kResourceExhausted);
  EXPECT_EQ(core.store.staging_bytes(), core.options.staging_bytes);
}

TEST(SegmentStoreTest, FailedWriteEndsWritesButKeepsSyncedData) {
  Core core;
  ASSERT_TRUE(core.Open(1).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  core.store.Abandon(kKey, ReplicaChange());
  EXPECT_EQ(core.Write(core.one.size(), core.two).code(), StatusCode::kIoError);
  EXPECT_EQ(core.Open(2).code(), StatusCode::kIoError);
  EXPECT_TRUE(core.replica().IsOffered());
}

TEST(SegmentStoreTest, DamagedReplicaCanBeOpenedAgain) {
  Core core;
  ASSERT_TRUE(core.Open(1).ok());
  ASSERT_TRUE(core.Write(0, core.one).ok());
  ASSERT_TRUE(core.Close(core.one.size()).ok());
  core.store.SetCorrupt(kKey);
  EXPECT_FALSE(core.replica().IsOffered());
  ASSERT_TRUE(core.Open(1).ok());
  EXPECT_TRUE(core.last.remove && core.last.create);
  EXPECT_EQ(core.replica().length, 0U);
  EXPECT_TRUE(core.Write(0, core.one, 1, ReplacementPart::kLast).ok());
  EXPECT_TRUE(core.replica().IsOffered());
}

}  // namespace
}  // namespace cloverbank

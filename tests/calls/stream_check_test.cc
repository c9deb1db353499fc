#include "calls/stream_check.h"

#include <gtest/gtest.h>

#include <random>

namespace cloverbank {
namespace {

proto::StreamChunk Chunk(const std::string& run, const std::string& call, std::uint64_t sequence,
                         bool end = false) {
  proto::StreamChunk chunk;
  chunk.set_run_id(run);
  chunk.set_call_id(call);
  chunk.set_sequence(sequence);
  chunk.set_end(end);
  return chunk;
}

TEST(StreamCheckTest, AcceptsAnUnbrokenRunAndNothingAfterItsEnd) {
  StreamCheck check("c");
  EXPECT_EQ(check.Check(Chunk("r", "c", 0)), ChunkCheckResult::kPass);
  EXPECT_EQ(check.Check(Chunk("r", "c", 1)), ChunkCheckResult::kPass);
  EXPECT_EQ(check.Check(Chunk("r", "c", 2, true)), ChunkCheckResult::kEnd);
  EXPECT_TRUE(check.OnBodyEnd());
  EXPECT_EQ(check.Check(Chunk("r", "c", 3)), ChunkCheckResult::kInvalid);
  EXPECT_EQ(check.fault(), StreamFault::kAfterEnd);
}

TEST(StreamCheckTest, ReportsTheFaultOfAnInvalidStream) {
  const auto fault_of = [](const proto::StreamChunk& second) {
    StreamCheck check("c");
    EXPECT_EQ(check.Check(Chunk("r", "c", 0)), ChunkCheckResult::kPass);
    EXPECT_EQ(check.Check(second), ChunkCheckResult::kInvalid);
    EXPECT_FALSE(check.OnBodyEnd());
    return check.fault();
  };
  EXPECT_EQ(fault_of(Chunk("r", "other", 1)), StreamFault::kOtherCall);
  EXPECT_EQ(fault_of(Chunk("r", "", 1)), StreamFault::kOtherCall);
  EXPECT_EQ(fault_of(Chunk("s", "c", 1)), StreamFault::kOtherRun);
  EXPECT_EQ(fault_of(Chunk("", "c", 1)), StreamFault::kOtherRun);
  EXPECT_EQ(fault_of(Chunk("r", "c", 2)), StreamFault::kGap);
  EXPECT_EQ(fault_of(Chunk("r", "c", 0)), StreamFault::kRepeat);
  StreamCheck without_first("c");
  EXPECT_EQ(without_first.Check(Chunk("r", "c", 1)), ChunkCheckResult::kInvalid);
  EXPECT_EQ(without_first.fault(), StreamFault::kGap);
  StreamCheck truncated("c");
  EXPECT_EQ(truncated.Check(Chunk("r", "c", 0)), ChunkCheckResult::kPass);
  EXPECT_FALSE(truncated.OnBodyEnd());
  EXPECT_EQ(truncated.fault(), StreamFault::kNoEnd);
}

/// However a stream is damaged, the chunks that pass are a prefix of one run, and the stream counts
/// as complete only if that run ended.
TEST(StreamCheckTest, RejectsRandomlyDamagedRuns) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 20'000; ++round) {
    StreamCheck check("c");
    std::uint64_t expected = 0;
    bool ended = false;
    for (std::uint64_t sequence = 0; sequence < 12; ++sequence) {
      proto::StreamChunk chunk = Chunk("r", "c", sequence, sequence == 11);
      switch (random() % 30) {
        case 0:
          continue;  // Lost.
        case 1:
          chunk.set_sequence(random() % 12);
          break;
        case 2:
          chunk.set_run_id("s");
          break;
        case 3:
          chunk.set_call_id("other");
          break;
        case 4:
          chunk.set_end(true);
          break;
        default:
          break;
      }
      const ChunkCheckResult result = check.Check(chunk);
      if (result == ChunkCheckResult::kInvalid) {
        break;
      }
      ASSERT_FALSE(ended);
      ASSERT_EQ(chunk.sequence(), expected++);
      ASSERT_EQ(chunk.run_id(), check.run_id());
      ASSERT_EQ(chunk.call_id(), "c");
      ended = result == ChunkCheckResult::kEnd;
      ASSERT_EQ(ended, chunk.end());
    }
    const bool complete = ended && check.fault() == StreamFault::kNone;
    ASSERT_EQ(check.OnBodyEnd(), complete);
  }
}

}  // namespace
}  // namespace cloverbank

#include "gateway/stream_check.h"

#include <gtest/gtest.h>

#include <random>

namespace cloverbank {
namespace {

proto::StreamPiece Piece(const std::string& run, const std::string& call, std::uint64_t sequence,
                         bool end = false) {
  proto::StreamPiece piece;
  piece.set_run_id(run);
  piece.set_call_id(call);
  piece.set_sequence(sequence);
  piece.set_end(end);
  return piece;
}

TEST(StreamCheckTest, PassesAnUnbrokenRunOnly) {
  StreamCheck check("c");
  EXPECT_EQ(check.Check(Piece("r", "c", 0)), PieceVerdict::kPass);
  EXPECT_EQ(check.Check(Piece("r", "c", 1)), PieceVerdict::kPass);
  EXPECT_EQ(check.Check(Piece("r", "c", 2, true)), PieceVerdict::kEnd);
  EXPECT_TRUE(check.BodyEnded());
  EXPECT_EQ(check.Check(Piece("r", "c", 3)), PieceVerdict::kBroken);
  EXPECT_EQ(check.fault(), StreamFault::kAfterEnd);
}

TEST(StreamCheckTest, NamesEachFault) {
  const auto fault_of = [](const proto::StreamPiece& second) {
    StreamCheck check("c");
    EXPECT_EQ(check.Check(Piece("r", "c", 0)), PieceVerdict::kPass);
    EXPECT_EQ(check.Check(second), PieceVerdict::kBroken);
    EXPECT_FALSE(check.BodyEnded());
    return check.fault();
  };
  EXPECT_EQ(fault_of(Piece("r", "other", 1)), StreamFault::kOtherCall);
  EXPECT_EQ(fault_of(Piece("r", "", 1)), StreamFault::kOtherCall);
  EXPECT_EQ(fault_of(Piece("s", "c", 1)), StreamFault::kOtherRun);
  EXPECT_EQ(fault_of(Piece("", "c", 1)), StreamFault::kOtherRun);
  EXPECT_EQ(fault_of(Piece("r", "c", 2)), StreamFault::kGap);
  EXPECT_EQ(fault_of(Piece("r", "c", 0)), StreamFault::kRepeat);
  StreamCheck late("c");
  EXPECT_EQ(late.Check(Piece("r", "c", 1)), PieceVerdict::kBroken);
  EXPECT_EQ(late.fault(), StreamFault::kGap);
  StreamCheck cut("c");
  EXPECT_EQ(cut.Check(Piece("r", "c", 0)), PieceVerdict::kPass);
  EXPECT_FALSE(cut.BodyEnded());
  EXPECT_EQ(cut.fault(), StreamFault::kNoEnd);
}

/// Whatever is done to a stream, what passes is a prefix of one run, whole only if it ended.
TEST(StreamCheckTest, RandomDamageNeverPassesABrokenRun) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 20'000; ++round) {
    StreamCheck check("c");
    std::uint64_t expected = 0;
    bool ended = false;
    for (std::uint64_t sequence = 0; sequence < 12; ++sequence) {
      proto::StreamPiece piece = Piece("r", "c", sequence, sequence == 11);
      switch (random() % 30) {
        case 0:
          continue;  // Lost.
        case 1:
          piece.set_sequence(random() % 12);
          break;
        case 2:
          piece.set_run_id("s");
          break;
        case 3:
          piece.set_call_id("other");
          break;
        case 4:
          piece.set_end(true);
          break;
        default:
          break;
      }
      const PieceVerdict verdict = check.Check(piece);
      if (verdict == PieceVerdict::kBroken) {
        break;
      }
      ASSERT_FALSE(ended);
      ASSERT_EQ(piece.sequence(), expected++);
      ASSERT_EQ(piece.run_id(), check.run_id());
      ASSERT_EQ(piece.call_id(), "c");
      ended = verdict == PieceVerdict::kEnd;
      ASSERT_EQ(ended, piece.end());
    }
    const bool clean = ended && check.fault() == StreamFault::kNone;
    ASSERT_EQ(check.BodyEnded(), clean);
  }
}

}  // namespace
}  // namespace cloverbank

// The order in which submissions get room.
#include "queue/room_line.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr TimePoint kStart{seconds(100)};

class RoomLineTest : public testing::Test {
 protected:
  RoomLineTest() {
    line_.Enter("first", 10);
    line_.Enter("second", 20);
  }
  RoomLine line_;
};

TEST_F(RoomLineTest, ANewcomerStandsBehindAll) {
  EXPECT_EQ(line_.TokensBefore("first"), 0U);
  EXPECT_EQ(line_.TokensBefore("second"), 10U);
  EXPECT_EQ(line_.TokensBefore("nobody"), 30U);
  EXPECT_LT(line_.PositionOf("first"), line_.PositionOf("second"));
  EXPECT_GT(line_.PositionOf("nobody"), line_.PositionOf("second"));
}

TEST_F(RoomLineTest, WhoComesAgainInTimeStandsWhereItStood) {
  line_.KeepUntil("first", kStart);
  line_.DropOverdue(kStart);
  line_.Enter("first", 10);
  EXPECT_EQ(line_.TokensBefore("second"), 10U);
  line_.DropOverdue(kStart + seconds(10));
  EXPECT_EQ(line_.TokensBefore("second"), 10U) << "it is there, so its place has no end";
}

TEST_F(RoomLineTest, WhoDoesNotComeLosesItsPlace) {
  line_.KeepUntil("first", kStart);
  line_.DropOverdue(kStart + milliseconds(1));
  EXPECT_EQ(line_.TokensBefore("second"), 0U);
  line_.Enter("first", 10);
  EXPECT_EQ(line_.TokensBefore("first"), 20U);
}

TEST_F(RoomLineTest, OnlyWhatFreesIsKept) {
  EXPECT_EQ(line_.KeptBefore("nobody"), 0U);
  line_.NoteFreed(15);
  EXPECT_EQ(line_.KeptBefore("nobody"), 15U);
  EXPECT_EQ(line_.KeptBefore("second"), 10U);
  line_.NoteFreed(100);
  EXPECT_EQ(line_.KeptBefore("nobody"), 30U) << "no more than the line wants";
}

TEST_F(RoomLineTest, WhoLeavesTakesItsOwnPartOnly) {
  line_.NoteFreed(15);
  line_.Enter("third", 40);
  line_.Leave("third");  // Taken out of other room.
  EXPECT_EQ(line_.KeptBefore("nobody"), 15U);
  line_.Leave("first");
  EXPECT_EQ(line_.KeptBefore("nobody"), 5U);
  line_.Leave("second");
  EXPECT_EQ(line_.KeptBefore("nobody"), 0U);
}

TEST_F(RoomLineTest, NothingIsKeptForThoseThatAreAwayUntilTheyComeAgain) {
  line_.NoteFreed(30);
  line_.KeepUntil("first", kStart);
  EXPECT_EQ(line_.KeptBefore("nobody"), 20U);
  line_.Enter("first", 10);
  EXPECT_EQ(line_.KeptBefore("nobody"), 30U);
  EXPECT_EQ(line_.KeptBefore("second"), 10U) << "it stands where it stood";
}

TEST_F(RoomLineTest, WhoWasTakenLeaves) {
  line_.Leave("first");
  line_.Leave("nobody");
  EXPECT_EQ(line_.TokensBefore("second"), 0U);
}

}  // namespace
}  // namespace cloverbank

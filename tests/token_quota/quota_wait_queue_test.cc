// The order in which submissions get room.
#include "token_quota/quota_wait_queue.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr TimePoint kStart{seconds(100)};

class QuotaWaitQueueTest : public testing::Test {
 protected:
  QuotaWaitQueueTest() {
    queue_.Enter("first", 10);
    queue_.Enter("second", 20);
  }
  QuotaWaitQueue queue_;
};

TEST_F(QuotaWaitQueueTest, ANewcomerStandsBehindAll) {
  EXPECT_EQ(queue_.TokensBefore("first"), 0U);
  EXPECT_EQ(queue_.TokensBefore("second"), 10U);
  EXPECT_EQ(queue_.TokensBefore("nobody"), 30U);
  EXPECT_LT(queue_.FindPosition("first"), queue_.FindPosition("second"));
  EXPECT_GT(queue_.FindPosition("nobody"), queue_.FindPosition("second"));
}

TEST_F(QuotaWaitQueueTest, WhoComesAgainInTimeStandsWhereItStood) {
  queue_.ReserveUntil("first", kStart);
  queue_.DropExpired(kStart);
  queue_.Enter("first", 10);
  EXPECT_EQ(queue_.TokensBefore("second"), 10U);
  queue_.DropExpired(kStart + seconds(10));
  EXPECT_EQ(queue_.TokensBefore("second"), 10U) << "it is there, so its place has no end";
}

TEST_F(QuotaWaitQueueTest, WhoDoesNotComeLosesItsPlace) {
  queue_.ReserveUntil("first", kStart);
  queue_.DropExpired(kStart + milliseconds(1));
  EXPECT_EQ(queue_.TokensBefore("second"), 0U);
  queue_.Enter("first", 10);
  EXPECT_EQ(queue_.TokensBefore("first"), 20U);
}

TEST_F(QuotaWaitQueueTest, OnlyWhatFreesIsKept) {
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 0U);
  queue_.RecordFreed(15);
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 15U);
  EXPECT_EQ(queue_.ReservedBefore("second"), 10U);
  queue_.RecordFreed(100);
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 30U) << "no more than the line wants";
}

TEST_F(QuotaWaitQueueTest, WhoLeavesTakesItsOwnPartOnly) {
  queue_.RecordFreed(15);
  queue_.Enter("third", 40);
  queue_.Leave("third");  // Taken out of other room.
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 15U);
  queue_.Leave("first");
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 5U);
  queue_.Leave("second");
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 0U);
}

TEST_F(QuotaWaitQueueTest, NothingIsKeptForThoseThatAreAwayUntilTheyComeAgain) {
  queue_.RecordFreed(30);
  queue_.ReserveUntil("first", kStart);
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 20U);
  queue_.Enter("first", 10);
  EXPECT_EQ(queue_.ReservedBefore("nobody"), 30U);
  EXPECT_EQ(queue_.ReservedBefore("second"), 10U) << "it stands where it stood";
}

TEST_F(QuotaWaitQueueTest, WhoWasTakenLeaves) {
  queue_.Leave("first");
  queue_.Leave("nobody");
  EXPECT_EQ(queue_.TokensBefore("second"), 0U);
}

}  // namespace
}  // namespace cloverbank

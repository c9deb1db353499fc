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

TEST_F(QuotaWaitQueueTest, NewBatchIsLast) {
  EXPECT_EQ(queue_.TokensBefore("first"), 0U);
  EXPECT_EQ(queue_.TokensBefore("second"), 10U);
  EXPECT_EQ(queue_.TokensBefore("not queued"), 30U);
  EXPECT_LT(queue_.FindPosition("first"), queue_.FindPosition("second"));
  EXPECT_GT(queue_.FindPosition("not queued"), queue_.FindPosition("second"));
}

TEST_F(QuotaWaitQueueTest, RetryInTimeKeepsItsPosition) {
  queue_.KeepPositionUntil("first", kStart);
  queue_.DropExpired(kStart);
  queue_.Enter("first", 10);
  EXPECT_EQ(queue_.TokensBefore("second"), 10U);
  queue_.DropExpired(kStart + seconds(10));
  EXPECT_EQ(queue_.TokensBefore("second"), 10U)
      << "the batch was retried, so its position does not expire";
}

TEST_F(QuotaWaitQueueTest, LateRetryLosesItsPosition) {
  queue_.KeepPositionUntil("first", kStart);
  queue_.DropExpired(kStart + milliseconds(1));
  EXPECT_EQ(queue_.TokensBefore("second"), 0U);
  queue_.Enter("first", 10);
  EXPECT_EQ(queue_.TokensBefore("first"), 20U);
}

TEST_F(QuotaWaitQueueTest, ReservesOnlyFreedTokens) {
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 0U);
  queue_.RecordFreed(15);
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 15U);
  EXPECT_EQ(queue_.ReservedBefore("second"), 10U);
  queue_.RecordFreed(100);
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 30U) << "no more than the batches request";
}

TEST_F(QuotaWaitQueueTest, AcceptedBatchUsesOnlyItsOwnReservation) {
  queue_.RecordFreed(15);
  queue_.Enter("third", 40);
  queue_.Leave("third");  // It was accepted within capacity that was not reserved.
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 15U);
  queue_.Leave("first");
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 5U);
  queue_.Leave("second");
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 0U);
}

TEST_F(QuotaWaitQueueTest, ReservesNothingBetweenRejectionAndRetry) {
  queue_.RecordFreed(30);
  queue_.KeepPositionUntil("first", kStart);
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 20U);
  queue_.Enter("first", 10);
  EXPECT_EQ(queue_.ReservedBefore("not queued"), 30U);
  EXPECT_EQ(queue_.ReservedBefore("second"), 10U) << "the retried batch has its old position";
}

TEST_F(QuotaWaitQueueTest, LeaveRemovesOnlyThatBatch) {
  queue_.Leave("first");
  queue_.Leave("not queued");
  EXPECT_EQ(queue_.TokensBefore("second"), 0U);
}

}  // namespace
}  // namespace cloverbank

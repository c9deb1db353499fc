#include "log_writer/append_queue.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace cloverbank {
namespace {

constexpr SegmentId kFirst(1);
constexpr SegmentId kSecond(2);

class AppendQueueTest : public testing::Test {
 protected:
  void Add(const std::string& name, std::uint64_t bytes, Duration added_at = Duration::zero()) {
    AppendQueue::WaitingAppend append;
    append.entries.resize(2);
    append.bytes = bytes;
    append.added_at = TimePoint() + added_at;
    append.done = [this, name](const Status&) { completed_.push_back(name); };
    queue_.Add(std::move(append));
  }

  AppendQueue queue_;
  std::vector<std::string> completed_;
};

TEST_F(AppendQueueTest, WaitingBytesExcludePlacedAppends) {
  Add("a", 10);
  Add("b", 20);
  EXPECT_EQ(queue_.waiting_bytes(), 30U);
  queue_.RecordPlaced(kFirst, 10);
  EXPECT_EQ(queue_.waiting_bytes(), 20U);
  EXPECT_TRUE(queue_.HasWaiting());
}

TEST_F(AppendQueueTest, AppendInHeadIsDurableWithinDurableLength) {
  EXPECT_FALSE(queue_.IsOldestPlacedDurable(kFirst, 100));
  Add("a", 10);
  queue_.RecordPlaced(kFirst, 10);
  EXPECT_FALSE(queue_.IsOldestPlacedDurable(kFirst, 9));
  EXPECT_TRUE(queue_.IsOldestPlacedDurable(kFirst, 10));
}

TEST_F(AppendQueueTest, AppendBeforeTheHeadIsDurable) {
  Add("a", 10);
  queue_.RecordPlaced(kFirst, 10);
  EXPECT_TRUE(queue_.IsOldestPlacedDurable(kSecond, 0));
}

TEST_F(AppendQueueTest, TakesPlacedAppendsInOrder) {
  Add("a", 10);
  Add("b", 10);
  queue_.RecordPlaced(kFirst, 10);
  queue_.RecordPlaced(kFirst, 20);
  queue_.TakePlaced()(Status::Ok());
  queue_.TakePlaced()(Status::Ok());
  EXPECT_THAT(completed_, testing::ElementsAre("a", "b"));
  EXPECT_FALSE(queue_.HasWaiting());
}

TEST_F(AppendQueueTest, AppendAddedAtTheCutoffIsOverdue) {
  Add("a", 10, seconds(2));
  EXPECT_FALSE(queue_.IsOverdue(0, TimePoint() + seconds(1)));
  EXPECT_TRUE(queue_.IsOverdue(0, TimePoint() + seconds(2)));
}

TEST_F(AppendQueueTest, PartlyPlacedAppendIsSkippedWhenOverdue) {
  Add("a", 10);
  Add("b", 20);
  EXPECT_EQ(queue_.CountPartlyPlaced(), 0U);
  queue_.first_waiting().next_entry = 1;
  ASSERT_EQ(queue_.CountPartlyPlaced(), 1U);
  ASSERT_TRUE(queue_.IsOverdue(1, TimePoint() + seconds(1)));
  queue_.TakeWaiting(1)(Status::Ok());
  EXPECT_THAT(completed_, testing::ElementsAre("b"));
  EXPECT_EQ(queue_.waiting_bytes(), 10U);
  EXPECT_FALSE(queue_.IsOverdue(1, TimePoint() + seconds(1)));
}

TEST_F(AppendQueueTest, TakesAllInOrderOfAdd) {
  Add("a", 10);
  Add("b", 10);
  queue_.RecordPlaced(kFirst, 10);
  for (const AppendQueue::Done& done : queue_.TakeAll()) {
    done(Status::Ok());
  }
  EXPECT_THAT(completed_, testing::ElementsAre("a", "b"));
  EXPECT_FALSE(queue_.HasWaiting());
  EXPECT_EQ(queue_.waiting_bytes(), 0U);
}

}  // namespace
}  // namespace cloverbank

#include "token_quota/token_usage.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr PartitionId kFirst(0);
constexpr PartitionId kSecond(1);
constexpr NodeId kOwner(7);
/// A later owner of a partition may have a lower node id, if its node registered earlier.
constexpr NodeId kLaterOwner(5);

class TokenUsageTest : public testing::Test {
 protected:
  TokenUsageTest() {
    usage_.ApplyCount({kFirst, kOwner, 100, 1, {}});
    usage_.ApplyCount({kSecond, kOwner, 50, 1, {}});
  }
  TokenUsage usage_;
};

TEST_F(TokenUsageTest, IsCompleteOnceEveryPartitionWasCounted) {
  EXPECT_TRUE(usage_.IsComplete(2));
  EXPECT_FALSE(usage_.IsComplete(3));
  EXPECT_EQ(usage_.UpperBound(), 150U);
}

TEST_F(TokenUsageTest, GrantCountsUntilACountIncludesIt) {
  usage_.AddGrant({kFirst, kOwner, 4, 30});
  EXPECT_EQ(usage_.UpperBound(), 180U);
  usage_.ApplyCount(
      {kFirst, kOwner, 100, 4, {}});  // The answer to request 4 has not arrived at the owner.
  EXPECT_EQ(usage_.UpperBound(), 180U);
  usage_.ApplyCount({kFirst, kOwner, 130, 5, {}});
  EXPECT_EQ(usage_.UpperBound(), 180U);
  usage_.ApplyCount({kFirst, kOwner, 90, 5, {}});
  EXPECT_EQ(usage_.UpperBound(), 140U);
}

TEST_F(TokenUsageTest, CountIncludesGrantAfterAPendingRequest) {
  usage_.AddGrant({kFirst, kOwner, 5, 30});
  usage_.ApplyCount({kFirst, kOwner, 130, 6, {4}});
  EXPECT_EQ(usage_.UpperBound(), 180U) << "request 4 is pending; the count includes request 5";
}

TEST_F(TokenUsageTest, PendingGrantIsAddedToACountOfLaterGrants) {
  usage_.AddGrant({kFirst, kOwner, 4, 30});
  usage_.AddGrant({kFirst, kOwner, 5, 20});
  usage_.ApplyCount({kFirst, kOwner, 120, 6, {4}});
  EXPECT_EQ(usage_.UpperBound(), 200U);
}

TEST_F(TokenUsageTest, CountLeavesGrantsOfOtherPartitions) {
  usage_.AddGrant({kFirst, kOwner, 4, 30});
  usage_.ApplyCount({kSecond, kOwner, 50, 9, {}});
  EXPECT_EQ(usage_.UpperBound(), 180U);
}

TEST_F(TokenUsageTest, CountOfALaterOwnerIncludesEarlierGrants) {
  usage_.AddGrant({kFirst, kOwner, 4, 30});
  usage_.ApplyCount({kFirst, kLaterOwner, 130, 1, {}});
  EXPECT_EQ(usage_.UpperBound(), 180U);
}

TEST_F(TokenUsageTest, IgnoresLateCountOfAReplacedOwner) {
  usage_.ApplyCount({kFirst, kLaterOwner, 130, 1, {}});
  usage_.AddGrant({kFirst, kLaterOwner, 1, 30});
  usage_.ApplyCount({kFirst, kOwner, 0, 9, {}});
  EXPECT_EQ(usage_.UpperBound(), 210U);
}

}  // namespace
}  // namespace cloverbank

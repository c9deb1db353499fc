// The limit of open tokens over all partitions, as a pure core.
#include "queue/token_ledger.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr PartitionId kFirst(0);
constexpr PartitionId kSecond(1);
constexpr NodeId kOwner(7);
/// Node ids of later owners may be lower: they registered before.
constexpr NodeId kLaterOwner(5);

class TokenLedgerTest : public testing::Test {
 protected:
  TokenLedgerTest() {
    ledger_.TakeCount({kFirst, kOwner, 100, 1, {}});
    ledger_.TakeCount({kSecond, kOwner, 50, 1, {}});
  }
  TokenLedger ledger_;
};

TEST_F(TokenLedgerTest, IsCompleteOnceEveryPartitionWasCounted) {
  EXPECT_TRUE(ledger_.Complete(2));
  EXPECT_FALSE(ledger_.Complete(3));
  EXPECT_EQ(ledger_.UpperBound(), 150U);
}

TEST_F(TokenLedgerTest, AGrantCountsUntilACountIncludesIt) {
  ledger_.AddGrant({kFirst, kOwner, 4, 30});
  EXPECT_EQ(ledger_.UpperBound(), 180U);
  ledger_.TakeCount(
      {kFirst, kOwner, 100, 4, {}});  // The answer to request 4 has not arrived there.
  EXPECT_EQ(ledger_.UpperBound(), 180U);
  ledger_.TakeCount({kFirst, kOwner, 130, 5, {}});
  EXPECT_EQ(ledger_.UpperBound(), 180U);
  ledger_.TakeCount({kFirst, kOwner, 90, 5, {}});
  EXPECT_EQ(ledger_.UpperBound(), 140U);
}

TEST_F(TokenLedgerTest, AGrantIsSettledWhileEarlierRequestsOfItsHolderStillWait) {
  ledger_.AddGrant({kFirst, kOwner, 5, 30});
  ledger_.TakeCount({kFirst, kOwner, 130, 6, {4}});
  EXPECT_EQ(ledger_.UpperBound(), 180U) << "request 4 waits; request 5 is in the count";
}

TEST_F(TokenLedgerTest, AGrantThatIsStillUnderWayCountsBesideLaterOnes) {
  ledger_.AddGrant({kFirst, kOwner, 4, 30});
  ledger_.AddGrant({kFirst, kOwner, 5, 20});
  ledger_.TakeCount({kFirst, kOwner, 120, 6, {4}});
  EXPECT_EQ(ledger_.UpperBound(), 200U);
}

TEST_F(TokenLedgerTest, ACountOfOnePartitionSaysNothingOfGrantsToAnother) {
  ledger_.AddGrant({kFirst, kOwner, 4, 30});
  ledger_.TakeCount({kSecond, kOwner, 50, 9, {}});
  EXPECT_EQ(ledger_.UpperBound(), 180U);
}

TEST_F(TokenLedgerTest, GrantsToAnOwnerThatWasReplacedAreInTheCountOfItsSuccessor) {
  ledger_.AddGrant({kFirst, kOwner, 4, 30});
  ledger_.TakeCount({kFirst, kLaterOwner, 130, 1, {}});
  EXPECT_EQ(ledger_.UpperBound(), 180U);
}

TEST_F(TokenLedgerTest, ALateCountOfTheReplacedOwnerIsPassedOver) {
  ledger_.TakeCount({kFirst, kLaterOwner, 130, 1, {}});
  ledger_.AddGrant({kFirst, kLaterOwner, 1, 30});
  ledger_.TakeCount({kFirst, kOwner, 0, 9, {}});
  EXPECT_EQ(ledger_.UpperBound(), 210U);
}

}  // namespace
}  // namespace cloverbank

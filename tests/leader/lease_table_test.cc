#include "leader/lease_table.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr NodeId kNode(1);
constexpr NodeId kNextId(5);
constexpr TimePoint kStart{seconds(100)};

class LeaseTableTest : public testing::Test {
 protected:
  LeaseTableTest() { leases.Start(kStart, kNextId); }

  LeaseTable leases{seconds(3)};
};

TEST_F(LeaseTableTest, AssumesPredecessorLeasesLastOneLease) {
  EXPECT_GE(leases.FindLeaseEnd(kNode), kStart + seconds(3));
  EXPECT_EQ(leases.FindLowestVersionInUse(kNode, kStart), ConfigurationVersion(0));
  leases.RecordConfirmation(kNode, ConfigurationVersion(4));
  EXPECT_EQ(leases.FindLowestVersionInUse(kNode, kStart), ConfigurationVersion(4));
  EXPECT_EQ(leases.FindLowestVersionInUse(kNode, kStart + seconds(4)), std::nullopt);
  EXPECT_EQ(leases.FindLowestVersionInUse(kNextId, kStart), std::nullopt)
      << "registered after this leader started";
}

TEST_F(LeaseTableTest, LeaseDoesNotEndBeforeItEndsAtHolder) {
  const TimePoint arrival = kStart + seconds(10);
  leases.RecordGrant(kNode, ConfigurationVersion(1), arrival);
  EXPECT_GE(leases.FindLeaseEnd(kNode), arrival + leases.lease());
  leases.RecordGrant(kNode, ConfigurationVersion(1), arrival - seconds(1));
  EXPECT_GE(leases.FindLeaseEnd(kNode), arrival + leases.lease());
}

// A gateway that sends requests but receives no replies is granted leases with the new version and
// never confirms it. Such a renewal must not prolong the use of the old version, or the gateway
// would block the new one forever.
TEST_F(LeaseTableTest, RenewalDoesNotProlongOldVersion) {
  const TimePoint first = kStart + seconds(10);
  leases.RecordGrant(kNode, ConfigurationVersion(1), first);
  for (int second = 1; second <= 5; ++second) {
    leases.RecordGrant(kNode, ConfigurationVersion(2), first + seconds(second));
  }
  EXPECT_EQ(leases.FindLowestVersionInUse(kNode, first + seconds(2)), ConfigurationVersion(1));
  EXPECT_EQ(leases.FindLowestVersionInUse(kNode, first + seconds(4)), ConfigurationVersion(2));
  leases.RecordConfirmation(kNode, ConfigurationVersion(2));
  EXPECT_EQ(leases.FindLowestVersionInUse(kNode, first + seconds(2)), ConfigurationVersion(2));
}

}  // namespace
}  // namespace cloverbank

// Leases, silence and the version in force, as pure cores.
#include <gtest/gtest.h>

#include "control_state/control_commands.h"
#include "coordinator/transaction_handler.h"
#include "leader/failure_detector.h"
#include "leader/lease_table.h"

namespace cloverbank {
namespace {

constexpr NodeId kNode(1);
constexpr NodeId kNextId(5);
constexpr TimePoint kStart{seconds(100)};

class LeaseTest : public testing::Test {
 protected:
  LeaseTest() {
    leases.Start(kStart, kNextId);
    detector.Start(kStart);
  }
  LeaseTable leases{seconds(3)};
  FailureDetector detector{seconds(3)};
};

TEST_F(LeaseTest, UnknownLeasesLastOneFullLeaseFromTheStart) {
  EXPECT_GE(leases.FindLeaseEnd(kNode), kStart + seconds(3));
  EXPECT_EQ(leases.LowestVersionInUse(kNode, kStart), ConfigurationVersion(0));
  leases.RecordConfirmation(kNode, ConfigurationVersion(4));
  EXPECT_EQ(leases.LowestVersionInUse(kNode, kStart), ConfigurationVersion(4));
  EXPECT_EQ(leases.LowestVersionInUse(kNode, kStart + seconds(4)), std::nullopt);
  EXPECT_EQ(leases.LowestVersionInUse(kNextId, kStart), std::nullopt) << "registered since";
}

TEST_F(LeaseTest, GiverCountsNoLessThanTheHolder) {
  const TimePoint arrival = kStart + seconds(10);
  leases.RecordGrant(kNode, ConfigurationVersion(1), arrival);
  EXPECT_GE(leases.FindLeaseEnd(kNode), arrival + leases.lease());
  leases.RecordGrant(kNode, ConfigurationVersion(1), arrival - seconds(1));
  EXPECT_GE(leases.FindLeaseEnd(kNode), arrival + leases.lease());
}

// A gateway that goes on asking but whose answers are lost must not hold up a version for ever.
TEST_F(LeaseTest, RenewalsWithTheNewVersionDoNotProlongTheOldOne) {
  const TimePoint first = kStart + seconds(10);
  leases.RecordGrant(kNode, ConfigurationVersion(1), first);
  for (int second = 1; second <= 5; ++second) {
    leases.RecordGrant(kNode, ConfigurationVersion(2), first + seconds(second));
  }
  EXPECT_EQ(leases.LowestVersionInUse(kNode, first + seconds(2)), ConfigurationVersion(1));
  EXPECT_EQ(leases.LowestVersionInUse(kNode, first + seconds(4)), ConfigurationVersion(2));
  leases.RecordConfirmation(kNode, ConfigurationVersion(2));
  EXPECT_EQ(leases.LowestVersionInUse(kNode, first + seconds(2)), ConfigurationVersion(2));
}

TEST_F(LeaseTest, SilenceKillsOnlyAfterTheLease) {
  const TimePoint heard = kStart + seconds(10);
  detector.RecordHeartbeat(kNode, heard);
  EXPECT_FALSE(detector.IsDead(kNode, leases, heard + seconds(2)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, heard + seconds(3)));
  leases.RecordGrant(kNode, ConfigurationVersion(1), heard + milliseconds(500));
  EXPECT_FALSE(detector.IsDead(kNode, leases, heard + milliseconds(3400)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, heard + seconds(4)));
}

TEST_F(LeaseTest, SuspicionOnlyHastensAndAHeartbeatClearsIt) {
  FailureDetector patient{seconds(9)};
  patient.Start(kStart);
  const TimePoint heard = kStart + seconds(10);
  patient.RecordHeartbeat(kNode, heard);
  patient.RecordSuspicion(kNode, heard + seconds(1));
  EXPECT_FALSE(patient.IsDead(kNode, leases, heard + seconds(5))) << "it was heard of just before";
  patient.RecordSuspicion(kNode, heard + seconds(2));
  EXPECT_TRUE(patient.IsDead(kNode, leases, heard + seconds(5)));
  patient.RecordHeartbeat(kNode, heard + seconds(5));
  EXPECT_FALSE(patient.IsDead(kNode, leases, heard + seconds(7)));
}

TEST_F(LeaseTest, OwnPauseIsNotSilence) {
  const TimePoint woken = kStart + seconds(30);
  detector.ExcludePause(seconds(29), woken);
  EXPECT_FALSE(detector.IsDead(kNode, leases, woken + seconds(1)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, woken + seconds(2)));
}

TEST_F(LeaseTest, VersionInForceIsTheLowestAnyGatewayMayUse) {
  ControlDriver control;
  const NodeId first = control.Register(proto::ROLE_GATEWAY, "front-1", 1);
  const NodeId second = control.Register(proto::ROLE_GATEWAY, "front-2", 2);
  control.Register(proto::ROLE_QUEUE, "store-1", 3);
  auto transaction = MakeTransaction("a", 1);
  AddTenant(&transaction, "x");
  control.Submit(transaction);
  leases.Start(kStart, NodeId(1));
  leases.RecordGrant(first, ConfigurationVersion(1), kStart);
  leases.RecordGrant(second, ConfigurationVersion(1), kStart + seconds(1));
  const auto in_force = [&](Duration after) {
    return VersionConfirmedByAll(control.state, leases, kStart + after).value();
  };
  EXPECT_EQ(in_force(seconds(1)), 1U);
  leases.RecordConfirmation(first, ConfigurationVersion(2));
  EXPECT_EQ(in_force(seconds(1)), 1U);
  EXPECT_EQ(FindGatewaysBehind(control.state, leases, kStart + seconds(1)), std::vector{second});
  EXPECT_EQ(in_force(seconds(5)), 2U) << "the lease has run out";
}

}  // namespace
}  // namespace cloverbank

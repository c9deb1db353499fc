#include "leader/failure_detector.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr NodeId kNode(1);
constexpr NodeId kNextId(5);
constexpr TimePoint kStart{seconds(100)};

class FailureDetectorTest : public testing::Test {
 protected:
  FailureDetectorTest() {
    leases.Start(kStart, kNextId);
    detector.Start(kStart);
  }

  LeaseTable leases{seconds(3)};
  FailureDetector detector{seconds(3)};
};

TEST_F(FailureDetectorTest, DeadOnlyAfterLeaseExpires) {
  const TimePoint heard = kStart + seconds(10);
  detector.RecordHeartbeat(kNode, heard);
  EXPECT_FALSE(detector.IsDead(kNode, leases, heard + seconds(2)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, heard + seconds(3)));
  leases.RecordGrant(kNode, ConfigurationVersion(1), heard + milliseconds(500));
  EXPECT_FALSE(detector.IsDead(kNode, leases, heard + milliseconds(3400)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, heard + seconds(4)));
}

TEST_F(FailureDetectorTest, SuspicionShortensTheTimeout) {
  FailureDetector patient{seconds(9)};
  patient.Start(kStart);
  const TimePoint heard = kStart + seconds(10);
  patient.RecordHeartbeat(kNode, heard);
  patient.RecordSuspicion(kNode, heard + seconds(1));
  EXPECT_FALSE(patient.IsDead(kNode, leases, heard + seconds(5))) << "too soon after a heartbeat";
  patient.RecordSuspicion(kNode, heard + seconds(2));
  EXPECT_TRUE(patient.IsDead(kNode, leases, heard + seconds(5)));
}

TEST_F(FailureDetectorTest, HeartbeatClearsSuspicion) {
  FailureDetector patient{seconds(9)};
  patient.Start(kStart);
  const TimePoint heard = kStart + seconds(10);
  patient.RecordHeartbeat(kNode, heard);
  patient.RecordSuspicion(kNode, heard + seconds(2));
  EXPECT_TRUE(patient.IsDead(kNode, leases, heard + seconds(5)));
  patient.RecordHeartbeat(kNode, heard + seconds(5));
  EXPECT_FALSE(patient.IsDead(kNode, leases, heard + seconds(7)));
}

TEST_F(FailureDetectorTest, OwnPauseDoesNotCount) {
  const TimePoint woken = kStart + seconds(30);
  detector.ExcludePause(seconds(29), woken);
  EXPECT_FALSE(detector.IsDead(kNode, leases, woken + seconds(1)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, woken + seconds(2)));
}

}  // namespace
}  // namespace cloverbank

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

TEST_F(FailureDetectorTest, NodeIsDeadOnlyAfterLeaseExpires) {
  const TimePoint last_heartbeat = kStart + seconds(10);
  detector.RecordHeartbeat(kNode, last_heartbeat);
  EXPECT_FALSE(detector.IsDead(kNode, leases, last_heartbeat + seconds(2)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, last_heartbeat + seconds(3)));
  leases.RecordGrant(kNode, ConfigurationVersion(1), last_heartbeat + milliseconds(500));
  EXPECT_FALSE(detector.IsDead(kNode, leases, last_heartbeat + milliseconds(3400)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, last_heartbeat + seconds(4)));
}

TEST_F(FailureDetectorTest, SuspicionShortensTheTimeout) {
  FailureDetector slow_detector{seconds(9)};
  slow_detector.Start(kStart);
  const TimePoint last_heartbeat = kStart + seconds(10);
  slow_detector.RecordHeartbeat(kNode, last_heartbeat);
  slow_detector.RecordSuspicion(kNode, last_heartbeat + seconds(1));
  EXPECT_FALSE(slow_detector.IsDead(kNode, leases, last_heartbeat + seconds(5)))
      << "a suspicion 1 s after a heartbeat must not count";
  slow_detector.RecordSuspicion(kNode, last_heartbeat + seconds(2));
  EXPECT_TRUE(slow_detector.IsDead(kNode, leases, last_heartbeat + seconds(5)));
}

TEST_F(FailureDetectorTest, HeartbeatClearsSuspicion) {
  FailureDetector slow_detector{seconds(9)};
  slow_detector.Start(kStart);
  const TimePoint last_heartbeat = kStart + seconds(10);
  slow_detector.RecordHeartbeat(kNode, last_heartbeat);
  slow_detector.RecordSuspicion(kNode, last_heartbeat + seconds(2));
  EXPECT_TRUE(slow_detector.IsDead(kNode, leases, last_heartbeat + seconds(5)));
  slow_detector.RecordHeartbeat(kNode, last_heartbeat + seconds(5));
  EXPECT_FALSE(slow_detector.IsDead(kNode, leases, last_heartbeat + seconds(7)));
}

TEST_F(FailureDetectorTest, LeaderPauseDoesNotCountAsSilence) {
  const TimePoint resumed = kStart + seconds(30);
  detector.ExcludePause(seconds(29), resumed);
  EXPECT_FALSE(detector.IsDead(kNode, leases, resumed + seconds(1)));
  EXPECT_TRUE(detector.IsDead(kNode, leases, resumed + seconds(2)));
}

}  // namespace
}  // namespace cloverbank

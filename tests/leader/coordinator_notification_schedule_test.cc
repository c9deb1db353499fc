#include "leader/coordinator_notification_schedule.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

class CoordinatorNotificationScheduleTest : public testing::Test {
 protected:
  CoordinatorNotificationScheduleTest() {
    gateway_ = control_.Register(proto::ROLE_GATEWAY, "g1", 1);
    queue_ = control_.Register(proto::ROLE_QUEUE, "q1", 1);
  }
  auto StartDue(const std::set<NodeId>& unresponsive = {}) {
    return schedule_.StartDueNotifications(control_.state, unresponsive, now_);
  }

  ControlDriver control_;
  CoordinatorNotificationSchedule schedule_;
  NodeId gateway_;
  NodeId queue_;
  TimePoint now_{seconds(100)};
};

TEST_F(CoordinatorNotificationScheduleTest, NotifiesEveryNodeOnceAfterReset) {
  EXPECT_THAT(StartDue(), SizeIs(2));
  now_ += seconds(2);
  EXPECT_THAT(StartDue(), IsEmpty());
  schedule_.Reset();
  EXPECT_THAT(StartDue(), SizeIs(2));
}

TEST_F(CoordinatorNotificationScheduleTest, RepeatsForUnresponsiveAndDeadNodes) {
  StartDue();
  now_ += seconds(2);
  EXPECT_THAT(StartDue({gateway_}), SizeIs(1));
  EXPECT_THAT(StartDue({gateway_}), IsEmpty()) << "notified at most every 500 ms";
  control_.DeclareDead(gateway_);
  now_ += seconds(1);
  EXPECT_THAT(StartDue(), SizeIs(1));
}

TEST_F(CoordinatorNotificationScheduleTest, StopsAfterSixtySecondsOfAbsence) {
  StartDue();
  control_.DeclareDead(gateway_);
  now_ += seconds(61);
  StartDue();
  now_ += seconds(1);
  EXPECT_THAT(StartDue(), IsEmpty());
}

}  // namespace
}  // namespace cloverbank

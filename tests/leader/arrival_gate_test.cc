#include "leader/arrival_gate.h"

#include <gtest/gtest.h>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

class ArrivalGateTest : public testing::Test {
 protected:
  ArrivalGateTest() { control.Register(proto::ROLE_QUEUE, "q1", 1); }

  ControlDriver control;
  ArrivalGate gate{milliseconds(700), seconds(2)};
  TimePoint now{seconds(50)};
};

TEST_F(ArrivalGateTest, AllowsAssignmentAfterQuietPeriod) {
  EXPECT_FALSE(gate.Update(control.state, {}, true, now));
  EXPECT_TRUE(gate.Update(control.state, {}, true, now + milliseconds(700)));
}

TEST_F(ArrivalGateTest, RefusesWithoutPartitionsToAssign) {
  EXPECT_FALSE(gate.Update(control.state, {}, false, now));
  EXPECT_FALSE(gate.Update(control.state, {}, false, now + seconds(9)));
}

TEST_F(ArrivalGateTest, AllowsAssignmentAtMaximumWaitDespiteNewNodes) {
  for (int arrival = 0; arrival < 3; ++arrival) {
    control.Register(proto::ROLE_QUEUE, "new" + std::to_string(arrival), 1);
    EXPECT_FALSE(gate.Update(control.state, {}, true, now + milliseconds(600) * arrival));
  }
  control.Register(proto::ROLE_QUEUE, "last", 1);
  EXPECT_TRUE(gate.Update(control.state, {}, true, now + seconds(2)));
}

}  // namespace
}  // namespace cloverbank

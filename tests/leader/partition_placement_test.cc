#include "leader/partition_placement.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

using ::testing::ElementsAre;

class PartitionPlacementTest : public testing::Test {
 protected:
  PartitionPlacementTest() {
    unresponsive = control.Register(proto::ROLE_QUEUE, "q0", 1);
    first = control.Register(proto::ROLE_QUEUE, "q1", 2);
    second = control.Register(proto::ROLE_QUEUE, "q2", 3);
  }

  ControlDriver control;
  NodeId unresponsive, first, second;
};

TEST_F(PartitionPlacementTest, AvoidsUnresponsiveAndRetiringNodes) {
  const std::vector<PartitionId> two{PartitionId(0), PartitionId(1)};
  EXPECT_FALSE(PlacePartitions(two, control.state, {unresponsive}).contains(unresponsive));
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("q1");
  control.Apply(retire);
  EXPECT_THAT(FindEligibleQueueNodes(control.state, {unresponsive}), ElementsAre(second));
  EXPECT_THAT(FindEligibleQueueNodes(control.state, {unresponsive, second}), ElementsAre(first));
}

}  // namespace
}  // namespace cloverbank

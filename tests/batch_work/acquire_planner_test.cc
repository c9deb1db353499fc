#include "batch_work/acquire_planner.h"

#include <gtest/gtest.h>

#include <vector>

namespace cloverbank {
namespace {

TEST(AcquirePlannerTest, SplitsCapacityAmongIdleNodes) {
  const std::vector<NodeId> nodes = {NodeId(1), NodeId(2), NodeId(3)};
  const BatchCapacity free = {{"model", 6}};
  AcquirePlanner planner;
  TimePoint now{};
  std::uint32_t offered = 0;
  for (const AcquirePlan& plan : planner.PlanRequests(now, nodes, free)) {
    offered += plan.capacity.at("model");
    EXPECT_GT(plan.long_poll_time, Duration::zero());
  }
  EXPECT_EQ(offered, 6U);
  EXPECT_TRUE(planner.PlanRequests(now, nodes, free).empty())
      << "at most one request in flight to a node";

  now += seconds(1);
  planner.RecordResponse(NodeId(1), 2, now);
  planner.RecordResponse(NodeId(2), 0, now);
  planner.RecordFailure(NodeId(3), now + seconds(1));
  for (const AcquirePlan& plan : planner.PlanRequests(now, nodes, free)) {
    ASSERT_NE(plan.node, NodeId(3)) << "node 3 gets no request before its retry time";
    EXPECT_EQ(plan.capacity.at("model"), plan.node == NodeId(1) ? 6U : 2U);
    EXPECT_EQ(plan.long_poll_time == Duration::zero(), plan.node == NodeId(1));
  }
  EXPECT_TRUE(planner.PlanRequests(now + seconds(2), nodes, {{"model", 0}}).empty());
}

}  // namespace
}  // namespace cloverbank

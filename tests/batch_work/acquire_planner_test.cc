#include "batch_work/acquire_planner.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <vector>

namespace cloverbank {
namespace {

class AcquirePlannerTest : public testing::Test {
 protected:
  std::vector<AcquirePlan> Plan(const BatchCapacity& free) {
    now_ += seconds(1);  // Any minimum interval is over.
    return planner_.PlanRequests(now_, nodes_, free);
  }
  /// The node answers after the whole long poll.
  void Answer(const AcquirePlan& plan, const std::set<std::string>& granted_backends = {}) {
    planner_.RecordResponse(plan, granted_backends, now_ + plan.long_poll_time);
  }
  static std::optional<AcquirePlan> FindFor(const std::vector<AcquirePlan>& plans, NodeId node,
                                            const std::string& backend) {
    for (const AcquirePlan& plan : plans) {
      if (plan.node == node && plan.capacity.contains(backend)) {
        return plan;
      }
    }
    return std::nullopt;
  }

  const std::vector<NodeId> nodes_ = {NodeId(1), NodeId(2), NodeId(3)};
  AcquirePlanner planner_;
  TimePoint now_{};
};

TEST_F(AcquirePlannerTest, SplitsCapacityAmongIdleNodes) {
  const BatchCapacity free = {{"model", 6}};
  std::uint32_t offered = 0;
  const std::vector<AcquirePlan> first = Plan(free);
  for (const AcquirePlan& plan : first) {
    offered += plan.capacity.at("model");
    EXPECT_GT(plan.long_poll_time, Duration::zero());
  }
  EXPECT_EQ(offered, 6U);
  EXPECT_TRUE(planner_.PlanRequests(now_, nodes_, free).empty())
      << "at most one request for a back end in flight to a node";

  now_ += seconds(1);
  planner_.RecordResponse(*FindFor(first, NodeId(1), "model"), {"model"}, now_);
  planner_.RecordResponse(*FindFor(first, NodeId(2), "model"), {}, now_);
  planner_.RecordFailure(*FindFor(first, NodeId(3), "model"), now_ + seconds(1));
  const std::vector<AcquirePlan> second = planner_.PlanRequests(now_, nodes_, free);
  ASSERT_TRUE(FindFor(second, NodeId(1), "model").has_value());
  for (const AcquirePlan& plan : second) {
    ASSERT_NE(plan.node, NodeId(3)) << "node 3 gets no request before its retry time";
    EXPECT_EQ(plan.capacity.at("model"), plan.node == NodeId(1) ? 6U : 2U);
    EXPECT_EQ(plan.long_poll_time == Duration::zero(), plan.node == NodeId(1));
  }
  EXPECT_TRUE(planner_.PlanRequests(now_ + seconds(2), nodes_, {{"model", 0}}).empty());
}

// Guards against a single slot that is offered to one idle node at a time, while items wait at
// another one (KNOWN-RED 16).
TEST_F(AcquirePlannerTest, OffersASingleSlotToAFewIdleNodes) {
  EXPECT_EQ(Plan({{"model", 1}}).size(), nodes_.size());
  std::vector<NodeId> many;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    many.emplace_back(id);
  }
  AcquirePlanner planner;
  EXPECT_EQ(planner.PlanRequests(now_, many, {{"model", 1}}).size(),
            AcquirePlannerOptions().minimum_offers);
  AcquirePlanner other_planner;
  EXPECT_EQ(other_planner.PlanRequests(now_, many, {{"model", 20}}).size(), 20U);
}

// Guards against a request for one back end that keeps the slots of another one from a node that
// has work for it, until the long poll ends (KNOWN-RED 16).
TEST_F(AcquirePlannerTest, ALongPollForOneBackEndDoesNotDelayAnother) {
  for (const AcquirePlan& plan : Plan({{"busy", 3}, {"idle", 3}})) {
    Answer(plan, {"busy"});
  }
  ASSERT_EQ(Plan({{"busy", 0}, {"idle", 3}}).size(), nodes_.size()) << "long polls";
  const std::vector<AcquirePlan> plans = Plan({{"busy", 1}, {"idle", 3}});
  ASSERT_FALSE(plans.empty());
  for (const AcquirePlan& plan : plans) {
    EXPECT_EQ(plan.capacity, (BatchCapacity{{"busy", 1}}));
    EXPECT_EQ(plan.long_poll_time, Duration::zero());
  }
}

// Guards against forgetting that a node has work for one back end when it has none for another
// (KNOWN-RED 16).
TEST_F(AcquirePlannerTest, KnowsOfEachBackEndWhetherANodeHasWork) {
  for (const AcquirePlan& plan : Plan({{"busy", 1}, {"idle", 1}})) {
    Answer(plan, {"busy"});
  }
  for (const AcquirePlan& plan : Plan({{"busy", 0}, {"idle", 1}})) {
    Answer(plan);
  }
  const std::vector<AcquirePlan> plans = Plan({{"busy", 1}, {"idle", 0}});
  ASSERT_FALSE(plans.empty());
  EXPECT_EQ(plans.front().long_poll_time, Duration::zero());
}

// Guards against offering the slots of a woken request to other nodes, so that the node whose items
// wait is not asked again (KNOWN-RED 16).
TEST_F(AcquirePlannerTest, ANodeThatEndsALongPollWithoutGrantsIsAskedAgainAtOnce) {
  const std::vector<AcquirePlan> first = Plan({{"model", 1}});
  const AcquirePlan woken = *FindFor(first, NodeId(2), "model");
  planner_.RecordResponse(woken, {}, now_ + milliseconds(100));
  now_ += milliseconds(100);
  const std::vector<AcquirePlan> plans = planner_.PlanRequests(now_, nodes_, {{"model", 1}});
  ASSERT_EQ(plans.size(), 1U);
  EXPECT_EQ(plans.front().node, NodeId(2));
  EXPECT_EQ(plans.front().long_poll_time, Duration::zero());
  Answer(plans.front());
  const std::vector<AcquirePlan> later = Plan({{"model", 1}});
  ASSERT_FALSE(later.empty());
  EXPECT_GT(later.front().long_poll_time, Duration::zero()) << "it had no work after all";
}

}  // namespace
}  // namespace cloverbank

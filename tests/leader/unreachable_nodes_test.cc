#include "leader/unreachable_nodes.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

class UnreachableNodesTest : public testing::Test {
 protected:
  UnreachableNodesTest() {
    gateway_ = control_.Register(proto::ROLE_GATEWAY, "g1", 1);
    queue_ = control_.Register(proto::ROLE_QUEUE, "q1", 1);
  }
  auto Due(const std::set<NodeId>& unresponsive = {}) {
    return unreachable_nodes_.StartDueNotifications(control_.state, unresponsive, now_);
  }

  ControlDriver control_;
  UnreachableNodes unreachable_nodes_;
  NodeId gateway_;
  NodeId queue_;
  TimePoint now_{seconds(100)};
};

TEST_F(UnreachableNodesTest, NotifiesEveryNodeOnceAfterReset) {
  EXPECT_THAT(Due(), SizeIs(2));
  now_ += seconds(2);
  EXPECT_THAT(Due(), IsEmpty());
  unreachable_nodes_.Reset();
  EXPECT_THAT(Due(), SizeIs(2));
}

TEST_F(UnreachableNodesTest, RepeatsForUnresponsiveAndDeadNodes) {
  Due();
  now_ += seconds(2);
  EXPECT_THAT(Due({gateway_}), SizeIs(1));
  EXPECT_THAT(Due({gateway_}), IsEmpty()) << "not more often than twice a second";
  control_.DeclareDead(gateway_);
  now_ += seconds(1);
  EXPECT_THAT(Due(), SizeIs(1));
}

TEST_F(UnreachableNodesTest, GivesUpOnLongAbsentNodes) {
  Due();
  control_.DeclareDead(gateway_);
  now_ += seconds(61);
  Due();
  now_ += seconds(1);
  EXPECT_THAT(Due(), IsEmpty());
}

}  // namespace
}  // namespace cloverbank

#include "coordinator/heartbeat_handler.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

// The names are label values of a metric.
TEST(HeartbeatRefusalTest, NamesAreStable) {
  EXPECT_EQ(HeartbeatRefusalName(HeartbeatRefusal::kNotLeader), "not_leader");
  EXPECT_EQ(HeartbeatRefusalName(HeartbeatRefusal::kUnknown), "unknown");
  EXPECT_EQ(HeartbeatRefusalName(HeartbeatRefusal::kDead), "dead");
  EXPECT_EQ(HeartbeatRefusalName(HeartbeatRefusal::kOtherIncarnation), "incarnation");
  EXPECT_EQ(HeartbeatRefusalName(HeartbeatRefusal::kSuperseded), "superseded");
  EXPECT_EQ(HeartbeatRefusalName(HeartbeatRefusal::kRetiring), "retiring");
}

}  // namespace
}  // namespace cloverbank

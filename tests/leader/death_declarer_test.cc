#include "leader/death_declarer.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

// They are stored in the replicated log and are labels of a metric.
TEST(DeathReasonTest, NamesAreStable) {
  EXPECT_EQ(DeathReasonName(DeathReason::kUnresponsive), "silent");
  EXPECT_EQ(DeathReasonName(DeathReason::kSuperseded), "superseded");
}

}  // namespace
}  // namespace cloverbank

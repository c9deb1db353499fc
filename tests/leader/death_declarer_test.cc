#include "leader/death_declarer.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

// The names are stored in the replicated log and are labels of a metric, so they must not change.
TEST(DeathReasonTest, NamesAreStable) {
  EXPECT_EQ(DeathReasonName(DeathReason::kUnresponsive), "silent");
  EXPECT_EQ(DeathReasonName(DeathReason::kSuperseded), "superseded");
}

}  // namespace
}  // namespace cloverbank

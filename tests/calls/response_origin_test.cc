// Which call a response is about.
#include "calls/response_origin.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

TEST(ResponseOriginTest, ComparesTheEchoedIdWithTheCall) {
  EXPECT_EQ(FindResponseOrigin("c1", "c1"), ResponseOrigin::kThisCall);
  EXPECT_EQ(FindResponseOrigin("c0", "c1"), ResponseOrigin::kOtherCall);
  EXPECT_EQ(FindResponseOrigin("", "c1"), ResponseOrigin::kUnidentified);
}

TEST(ResponseOriginTest, AnEmptyIdNeverMatches) {
  EXPECT_EQ(FindResponseOrigin("", ""), ResponseOrigin::kUnidentified);
}

}  // namespace
}  // namespace cloverbank

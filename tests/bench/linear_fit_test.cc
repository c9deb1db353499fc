#include "bench/linear_fit.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

TEST(LinearFitTest, FitsPointsOnALineExactly) {
  const LinearFit fit = FitLine({{1, 5}, {2, 7}, {4, 11}});
  EXPECT_NEAR(fit.slope, 2, 1e-9);
  EXPECT_NEAR(fit.intercept, 3, 1e-9);
  EXPECT_NEAR(fit.worst_residual, 0, 1e-9);
  EXPECT_NEAR(fit.At(10), 23, 1e-9);
}

TEST(LinearFitTest, ReportsWorstResidualAsFractionOfLargestValue) {
  const LinearFit fit = FitLine({{0, 0}, {1, 10}, {2, 0}});
  EXPECT_NEAR(fit.slope, 0, 1e-9);
  EXPECT_NEAR(fit.worst_residual, (10 - 10.0 / 3) / 10, 1e-9);
}

}  // namespace
}  // namespace cloverbank

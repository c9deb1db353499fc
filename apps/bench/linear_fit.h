#pragma once
/// @file
/// Least-squares line through measured points. A pure function.

#include <utility>
#include <vector>

namespace cloverbank {

struct LinearFit {
  double intercept = 0;
  double slope = 0;
  /// Largest distance of a point from the line, as a share of the largest measured value.
  double worst_residual = 0;
  double At(double size) const { return intercept + slope * size; }
};

/// @param points (size, value); at least two sizes must differ.
LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace cloverbank

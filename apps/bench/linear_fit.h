#pragma once
/// @file
/// Fits a least-squares line to measured points.

#include <utility>
#include <vector>

namespace cloverbank {

struct LinearFit {
  double intercept = 0;
  double slope = 0;
  /// Largest distance of a point from the line, as a fraction of the largest absolute value.
  double worst_residual = 0;
  /// @return the line's value at `size`.
  double At(double size) const { return intercept + slope * size; }
};

/// @param points pairs of size and value; at least two sizes must differ, otherwise the slope is 0.
LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace cloverbank

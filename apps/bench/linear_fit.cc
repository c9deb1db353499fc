#include "bench/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace cloverbank {

LinearFit FitLine(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const auto& [size, value] : points) {
    mean_size += size / count;
    mean_value += value / count;
  }
  double covariance = 0;
  double variance = 0;
  double largest = 0;
  for (const auto& [size, value] : points) {
    covariance += (size - mean_size) * (value - mean_value);
    variance += (size - mean_size) * (size - mean_size);
    largest = std::max(largest, std::abs(value));
  }
  LinearFit fit;
  fit.slope = variance > 0 ? covariance / variance : 0;
  fit.intercept = mean_value - fit.slope * mean_size;
  for (const auto& [size, value] : points) {
    const double distance = std::abs(value - fit.At(size));
    fit.worst_residual = std::max(fit.worst_residual, largest > 0 ? distance / largest : 0);
  }
  return fit;
}

}  // namespace cloverbank

#include "replicas/recent_quantile.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::size_t kThirds = 3;

}  // namespace

void RecentQuantile::Add(double sample) {
  samples_.at(count_ % kMostSamples) = static_cast<float>(sample);
  ++count_;
  std::array<float, kMostSamples> sorted = samples_;
  const std::size_t held = std::min(count_, kMostSamples);
  const std::size_t place = (held - 1) * thirds_ / kThirds;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(held);
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(place);
  std::nth_element(sorted.begin(), nth, end);
  quantile_ = *nth;
}

std::optional<double> RecentQuantile::value() const {
  if (count_ < kLeastSamples) {
    return std::nullopt;
  }
  return quantile_;
}

}  // namespace cloverbank

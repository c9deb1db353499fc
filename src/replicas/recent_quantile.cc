#include "replicas/recent_quantile.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::size_t kThirds = 3;

}  // namespace

void RecentQuantile::Add(double sample) {
  samples_.at(count_ % kMaximumSamples) = static_cast<float>(sample);
  ++count_;
  std::array<float, kMaximumSamples> sorted = samples_;
  const std::size_t held_samples = std::min(count_, kMaximumSamples);
  const std::size_t rank = (held_samples - 1) * thirds_ / kThirds;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(held_samples);
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), nth, end);
  quantile_ = *nth;
}

std::optional<double> RecentQuantile::value() const {
  if (count_ < kMinimumSamples) {
    return std::nullopt;
  }
  return quantile_;
}

}  // namespace cloverbank

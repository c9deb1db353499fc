#include "gateway/reading_rate.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::size_t kQuantileNumerator = 2;
constexpr std::size_t kQuantileDenominator = 3;

}  // namespace

void ReadingRate::Add(double tokens_per_ms) {
  samples_.at(count_ % kMostSamples) = tokens_per_ms;
  ++count_;
  std::array<double, kMostSamples> sorted = samples_;
  const std::size_t held = std::min(count_, kMostSamples);
  const std::size_t place = (held - 1) * kQuantileNumerator / kQuantileDenominator;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(held);
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(place);
  std::nth_element(sorted.begin(), nth, end);
  quantile_ = *nth;
}

}  // namespace cloverbank

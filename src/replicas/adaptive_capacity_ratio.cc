#include "replicas/adaptive_capacity_ratio.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr double kMinimumRatio = 1.0 / 256;
constexpr Duration kOverloadPause = milliseconds(500);   // Closer overloads count as one.
constexpr double kRandomRange = 18446744073709551616.0;  // 2^64.

}  // namespace

void AdaptiveCapacityRatio::OnOverload(TimePoint now) {
  if (now - last_overload_ < kOverloadPause && last_overload_ != TimePoint{}) {
    return;
  }
  last_overload_ = now;
  ratio_ = std::max(kMinimumRatio, ratio_ / 2);
}

void AdaptiveCapacityRatio::OnReportWithinBound() { ratio_ = std::min(1.0, ratio_ + growth_); }

std::uint32_t AdaptiveCapacityRatio::Allowance(std::uint32_t free, std::uint64_t random) const {
  const double exact = ratio_ * free;
  const auto whole = static_cast<std::uint32_t>(exact);
  const double fraction = exact - whole;
  const bool rounds_up = static_cast<double>(random) / kRandomRange < fraction;
  return whole + (rounds_up ? 1 : 0);
}

}  // namespace cloverbank

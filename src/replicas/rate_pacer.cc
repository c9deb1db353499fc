#include "replicas/rate_pacer.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr double kMinimumRatio = 1.0 / 256;
constexpr Duration kCollisionPause = milliseconds(500);  // Closer collisions count as one.
constexpr double kRandomRange = 18446744073709551616.0;  // 2^64.

}  // namespace

void RatePacer::OnCollision(TimePoint now) {
  if (now - last_collision_ < kCollisionPause && last_collision_ != TimePoint{}) {
    return;
  }
  last_collision_ = now;
  ratio_ = std::max(kMinimumRatio, ratio_ / 2);
}

void RatePacer::OnSmoothReport() { ratio_ = std::min(1.0, ratio_ + growth_); }

std::uint32_t RatePacer::Allowance(std::uint32_t free, std::uint64_t random) const {
  const double exact = ratio_ * free;
  const auto whole = static_cast<std::uint32_t>(exact);
  const double fraction = exact - whole;
  const bool rounds_up = static_cast<double>(random) / kRandomRange < fraction;
  return whole + (rounds_up ? 1 : 0);
}

}  // namespace cloverbank

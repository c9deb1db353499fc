#include "replicas/share_pacer.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr double kLeastShare = 1.0 / 256;
constexpr Duration kCollisionPause = milliseconds(500);  // Collisions closer together are one.
constexpr double kRandomRange = 18446744073709551616.0;  // 2^64.

}  // namespace

void SharePacer::OnCollision(TimePoint now) {
  if (now - last_collision_ < kCollisionPause && last_collision_ != TimePoint{}) {
    return;
  }
  last_collision_ = now;
  share_ = std::max(kLeastShare, share_ / 2);
}

void SharePacer::OnSmoothReport() { share_ = std::min(1.0, share_ + growth_); }

std::uint32_t SharePacer::Allowance(std::uint32_t free, std::uint64_t random) const {
  const double wanted = share_ * free;
  const auto whole = static_cast<std::uint32_t>(wanted);
  const double fraction = wanted - whole;
  const bool up = static_cast<double>(random) / kRandomRange < fraction;
  return whole + (up ? 1 : 0);
}

}  // namespace cloverbank

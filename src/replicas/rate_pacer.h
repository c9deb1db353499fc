#pragma once
/// @file
/// The fraction of a replica's free capacity that one gateway uses at a time. Every gateway sees
/// the same free capacity and none knows how many others do, so the fraction adapts as TCP's
/// congestion window does: additive increase without collisions, multiplicative decrease after one.
/// Pure.

#include <cstdint>

#include "base/time.h"

namespace cloverbank {

class RatePacer {
 public:
  /// @param ratio initial fraction. @param growth added with each report without a collision.
  RatePacer(double ratio, double growth) : ratio_(ratio), growth_(growth) {}

  /// A replica with calls of this gateway reported more load than intended.
  void OnCollision(TimePoint now);
  /// A replica with calls of this gateway reported a load within its bound.
  void OnSmoothReport();
  /// @return how many calls may start in `free` slots until the next report, rounded up or down at
  /// random, so that a small ratio means an occasional start.
  std::uint32_t Allowance(std::uint32_t free, std::uint64_t random) const;

  double ratio() const { return ratio_; }

 private:
  double ratio_;
  double growth_;
  TimePoint last_collision_{};
};

}  // namespace cloverbank

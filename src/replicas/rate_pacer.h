#pragma once
/// @file
/// What part of the room at a replica one gateway takes at a time. Every gateway sees the same room
/// and none knows how many others do, so the share is found as TCP finds a link's: it grows slowly
/// while there is no collision and is halved after one (additive increase, multiplicative
/// decrease). Pure.

#include <cstdint>

#include "base/time.h"

namespace cloverbank {

class RatePacer {
 public:
  /// @param share to begin with. @param growth of it with each smooth report.
  RatePacer(double ratio, double growth) : ratio_(ratio), growth_(growth) {}

  /// Own calls were at a replica that was fuller than it should have become.
  void OnCollision(TimePoint now);
  /// Own calls were at a replica that reported a load within its bound.
  void OnSmoothReport();
  /// @return how many calls may start in `free` slots until the next report; the fraction is
  /// rounded up or down at random, so that a small share means a start now and then.
  std::uint32_t Allowance(std::uint32_t free, std::uint64_t random) const;

  double ratio() const { return ratio_; }

 private:
  double ratio_;
  double growth_;
  TimePoint last_collision_{};
};

}  // namespace cloverbank

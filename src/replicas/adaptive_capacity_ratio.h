#pragma once
/// @file
/// The fraction of a replica's free capacity that one gateway uses at a time. All gateways see the
/// same free capacity, and none knows how many others see it, so the fraction adapts like TCP's
/// congestion window: additive increase without overloads, multiplicative decrease after one. An
/// overload is when gateways together exceed the intended load. Pure.

#include <cstdint>

#include "base/time.h"

namespace cloverbank {

class AdaptiveCapacityRatio {
 public:
  /// @param ratio initial fraction, from 0 to 1. @param growth added with each report without an
  /// overload.
  AdaptiveCapacityRatio(double ratio, double growth) : ratio_(ratio), growth_(growth) {}

  /// A replica that runs calls of this gateway reported more load than intended.
  void OnOverload(TimePoint now);
  /// A replica that runs calls of this gateway reported a load within its bound.
  void OnReportWithinBound();
  /// @param free slots of the replica. @param random a random number.
  /// @return how many calls may start until the next report. Fractions are rounded up or down at
  /// random, so that a small ratio still allows an occasional call.
  std::uint32_t Allowance(std::uint32_t free, std::uint64_t random) const;

  /// The current fraction, from 0 to 1.
  double ratio() const { return ratio_; }

 private:
  double ratio_;
  double growth_;
  TimePoint last_overload_{};
};

}  // namespace cloverbank

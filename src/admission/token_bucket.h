#pragma once
/// @file
/// A rate limit as a bucket of tokens that fills at the rate. Pure.

#include "base/time.h"

namespace cloverbank {

/// Limits calls per second, with a burst.
class TokenBucket {
 public:
  /// Takes one token. @return zero, or the time until there is one.
  Duration Acquire(double per_second, Duration burst, TimePoint now);
  /// Whether all tokens are there, so that the bucket's state can be dropped.
  bool IsFull(double per_second, Duration burst, TimePoint now) const;

 private:
  double Level(double per_second, double capacity, TimePoint now) const;
  double tokens_ = -1;  ///< Negative: unused, hence full.
  TimePoint updated_{};
};

}  // namespace cloverbank

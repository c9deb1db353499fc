#pragma once
/// @file
/// A rate limit as a bucket of tokens that fills at the rate. Pure.

#include "base/time.h"

namespace cloverbank {

/// A tenant's calls per second, as a bucket of tokens.
class TokenBucket {
 public:
  /// Takes one token. @return 0, or how long until there is one.
  Duration Acquire(double per_second, Duration burst, TimePoint now);
  /// Whether it is as good as new, so that it need not be kept.
  bool IsFull(double per_second, Duration burst, TimePoint now) const;

 private:
  double Level(double per_second, double capacity, TimePoint now) const;
  double tokens_ = -1;  ///< Negative: never used, hence full.
  TimePoint updated_{};
};

}  // namespace cloverbank

#pragma once
/// @file
/// A token bucket, which limits a rate: it fills at that rate, and each call takes one token. Pure.

#include "base/time.h"

namespace cloverbank {

/// Limits calls per second and allows bursts. The rate and the burst are parameters of each method,
/// so that a changed configuration applies at once.
class TokenBucket {
 public:
  /// Takes one token if there is one.
  /// @param per_second the rate; must be above 0.
  /// @param burst the time in which an empty bucket fills; a bucket holds at least one token.
  /// @return zero if a token was taken, else the time after which there is one.
  Duration Acquire(double per_second, Duration burst, TimePoint now);
  /// @return whether the bucket is full. It is then like a new one, so its owner can delete it.
  bool IsFull(double per_second, Duration burst, TimePoint now) const;

 private:
  /// @return the tokens in the bucket at `now`.
  double Level(double per_second, double capacity, TimePoint now) const;
  double tokens_ = -1;  ///< At `updated_`. Negative before the first call: the bucket is full.
  TimePoint updated_{};
};

}  // namespace cloverbank

#pragma once
/// @file
/// Estimates how fast the open tokens of a route are finished, from successive counts of them and
/// the tokens granted between the counts. Pure.

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace cloverbank {

/// The rate is a moving average, in tokens per second.
class DrainRate {
 public:
  /// Records a count.
  /// @param open the open tokens at `now`.
  /// @param granted the tokens granted since the previous count.
  /// @return the tokens finished since the previous count; 0 for the first count.
  std::uint64_t Update(std::uint64_t open, std::uint64_t granted, TimePoint now);
  /// @return the time in which that many tokens will be finished; nothing while the rate is
  /// unknown.
  std::optional<Duration> EstimateTime(std::uint64_t tokens) const;

 private:
  std::optional<std::uint64_t> open_;  ///< At the last count; empty before the first one.
  TimePoint counted_at_{};
  double tokens_per_second_ = 0;  ///< 0: unknown.
};

}  // namespace cloverbank

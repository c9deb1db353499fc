#pragma once
/// @file
/// Estimates how fast the open tokens of a route are finished, from successive counts of them and
/// the tokens granted between two counts. Pure.

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace cloverbank {

class DrainRate {
 public:
  /// Records a count. @param open tokens now. @param granted tokens since the previous count.
  /// @return the tokens finished since the previous count; 0 at the first one.
  std::uint64_t Update(std::uint64_t open, std::uint64_t granted, TimePoint now);
  /// @return the time in which that many tokens are finished; nothing while the rate is unknown.
  std::optional<Duration> EstimateTime(std::uint64_t tokens) const;

 private:
  std::optional<std::uint64_t> open_;  ///< At the last count.
  TimePoint counted_at_{};
  double tokens_per_second_ = 0;  ///< 0: unknown.
};

}  // namespace cloverbank

#pragma once
/// @file
/// How fast the open tokens of a route are finished, told from counts of them and of what was
/// granted between two counts. Pure.

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace cloverbank {

class DrainRate {
 public:
  /// Takes a count. @param open tokens now. @param granted tokens granted since the count before.
  /// @return how many were finished since the count before; 0 at the first one.
  std::uint64_t Update(std::uint64_t open, std::uint64_t granted, TimePoint now);
  /// @return how long it takes to finish that many; nothing while the rate is not known.
  std::optional<Duration> EstimateTime(std::uint64_t tokens) const;

 private:
  std::optional<std::uint64_t> open_;  ///< At the last count.
  TimePoint counted_at_{};
  double tokens_per_second_ = 0;  ///< 0 is not known.
};

}  // namespace cloverbank

#pragma once
/// @file
/// How fast model replicas read prompts, told from the times of first answers. Prompts of others
/// that were read before make an answer late and never early, so the rate is a high quantile of
/// what was seen lately. Long prompts are read at a lower rate than short ones (attention grows
/// with the square of the length), so each class of lengths has a rate of its own. Pure.

#include <array>
#include <cstdint>
#include <optional>

#include "replicas/recent_quantile.h"

namespace cloverbank {

class PrefillThroughput {
 public:
  /// An answer began after a prompt of that length was read at that rate, or faster.
  void Add(std::uint32_t tokens, double tokens_per_ms);
  /// @return the rate at which prompts of that length are read, or of the nearest length that is
  /// known; nothing while none is.
  std::optional<double> TokensPerMs(std::uint32_t tokens) const;

 private:
  static constexpr std::size_t kClasses = 4;
  static std::size_t ClassOf(std::uint32_t tokens);

  std::array<RecentQuantile, kClasses> rates_{RecentQuantile(2), RecentQuantile(2),
                                              RecentQuantile(2), RecentQuantile(2)};
};

}  // namespace cloverbank

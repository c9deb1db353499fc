#pragma once
/// @file
/// Prefill throughput of model replicas, learned from the times to first token. Concurrent prompts
/// of other gateways delay a response and never speed it up, so the estimate is a high quantile of
/// recent samples. Long prompts are prefilled at a lower rate than short ones (attention grows with
/// the square of the length), so each class of lengths has an estimate of its own. Pure.

#include <array>
#include <cstdint>
#include <optional>

#include "replicas/recent_quantile.h"

namespace cloverbank {

class PrefillThroughput {
 public:
  /// Adds a sample: a lower bound of the throughput for a prompt of that length.
  void Add(std::uint32_t tokens, double tokens_per_ms);
  /// @return the throughput for prompts of that length, or of the nearest length class with
  /// samples; nothing while there are none.
  std::optional<double> TokensPerMillisecond(std::uint32_t tokens) const;

 private:
  static constexpr std::size_t kClasses = 4;
  static std::size_t ClassOf(std::uint32_t tokens);

  std::array<RecentQuantile, kClasses> rates_{RecentQuantile(2), RecentQuantile(2),
                                              RecentQuantile(2), RecentQuantile(2)};
};

}  // namespace cloverbank

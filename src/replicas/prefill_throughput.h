#pragma once
/// @file
/// Prefill throughput of model replicas, learned from times to first token. Concurrent prompts of
/// other gateways delay a response and never speed it up, so the estimate is a high quantile of
/// recent samples. Long prompts are prefilled at a lower rate than short ones (the cost of
/// attention grows with the square of the length), so each length class has its own estimate. Pure.

#include <array>
#include <cstdint>
#include <optional>

#include "replicas/recent_quantile.h"

namespace cloverbank {

class PrefillThroughput {
 public:
  /// Adds a sample. @param tokens length of the prompt. @param tokens_per_ms measured throughput; a
  /// lower bound, since other prompts may have delayed the response.
  void Add(std::uint32_t tokens, double tokens_per_ms);
  /// @return the throughput for prompts of that length, or of the nearest length class that has an
  /// estimate; nothing if no class has one.
  std::optional<double> TokensPerMillisecond(std::uint32_t tokens) const;

 private:
  static constexpr std::size_t kClasses = 4;
  /// @return the index of the length class.
  static std::size_t ClassOf(std::uint32_t tokens);

  std::array<RecentQuantile, kClasses> rates_{RecentQuantile(2), RecentQuantile(2),
                                              RecentQuantile(2), RecentQuantile(2)};
};

}  // namespace cloverbank

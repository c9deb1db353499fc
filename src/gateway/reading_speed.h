#pragma once
/// @file
/// How fast a model replica reads prompts, told from the times of first answers. Prompts of others
/// that were read before make an answer late and never early, so the rate is a high quantile of
/// what was seen lately, not its mean. Pure.

#include <array>
#include <cstddef>

namespace cloverbank {

class ReadingRate {
 public:
  /// Fewer samples than this tell no rate.
  static constexpr std::size_t kLeastSamples = 4;

  /// An answer began after a prompt was read at `tokens_per_ms`, or faster than that.
  void Add(double tokens_per_ms);
  bool known() const { return count_ >= kLeastSamples; }
  /// @return tokens a millisecond; 0 while it is not known.
  double tokens_per_ms() const { return known() ? quantile_ : 0; }

 private:
  static constexpr std::size_t kMostSamples = 16;

  std::array<double, kMostSamples> samples_{};  ///< The newest ones, in a ring.
  std::size_t count_ = 0;                       ///< Of all samples ever added.
  double quantile_ = 0;
};

}  // namespace cloverbank

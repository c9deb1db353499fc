#pragma once
/// @file
/// A quantile of the most recent samples of a value that changes over time. Pure.

#include <array>
#include <cstddef>
#include <optional>

namespace cloverbank {

class RecentQuantile {
 public:
  /// Minimum number of samples for an estimate.
  static constexpr std::size_t kMinimumSamples = 4;

  /// @param thirds the quantile in thirds: 1 for the lower third, 2 for the upper third.
  explicit RecentQuantile(std::size_t thirds) : thirds_(thirds) {}

  void Add(double sample);
  /// @return the quantile; nothing with fewer than `kMinimumSamples` samples.
  std::optional<double> value() const;

 private:
  static constexpr std::size_t kMaximumSamples = 16;

  std::size_t thirds_;
  std::array<float, kMaximumSamples> samples_{};  ///< Ring buffer.
  std::size_t count_ = 0;                         ///< Samples added since construction.
  float quantile_ = 0;
};

}  // namespace cloverbank

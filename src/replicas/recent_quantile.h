#pragma once
/// @file
/// A quantile of the newest samples of a value that changes over time. Pure.

#include <array>
#include <cstddef>
#include <optional>

namespace cloverbank {

class RecentQuantile {
 public:
  /// Minimum number of samples for an estimate.
  static constexpr std::size_t kMinimumSamples = 4;

  /// @param thirds which quantile, in thirds: 1 is a low one, 2 a high one.
  explicit RecentQuantile(std::size_t thirds) : thirds_(thirds) {}

  void Add(double sample);
  /// @return the quantile; nothing below `kLeastSamples`.
  std::optional<double> value() const;

 private:
  static constexpr std::size_t kMaximumSamples = 16;

  std::size_t thirds_;
  std::array<float, kMaximumSamples> samples_{};  ///< In a ring.
  std::size_t count_ = 0;                         ///< Of all samples ever added.
  float quantile_ = 0;
};

}  // namespace cloverbank

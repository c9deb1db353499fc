#pragma once
/// @file
/// Random numbers that are the same for the same seed on every platform, which the standard
/// library's distributions don't guarantee.

#include <cstdint>
#include <random>

#include "base/time.h"

namespace cloverbank {

class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }
  /// @return a number in [0, bound); 0 if `bound` is 0.
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
  /// @return true with `probability` (0: never, 1: always). Always draws exactly one number.
  bool Chance(double probability) {
    constexpr double kSteps = 1ULL << 53U;
    return static_cast<double>(engine_() >> 11U) < probability * kSteps;
  }
  /// @return a duration in [low, high].
  Duration Between(Duration low, Duration high) {
    if (high <= low) {
      return low;
    }
    return low + Duration(Below(static_cast<std::uint64_t>((high - low).count()) + 1));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cloverbank

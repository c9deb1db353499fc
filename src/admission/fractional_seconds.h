#pragma once
/// @file
/// Converts between durations and fractional seconds, for computing rates. Pure.

#include <chrono>

#include "base/time.h"

namespace cloverbank {

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return the duration, rounded towards zero.
inline Duration FromSeconds(double count) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

}  // namespace cloverbank

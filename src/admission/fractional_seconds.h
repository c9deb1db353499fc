#pragma once
/// @file
/// Durations as seconds with fractions, for rates. Pure.

#include <chrono>

#include "base/time.h"

namespace cloverbank {

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration FromSeconds(double count) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

}  // namespace cloverbank

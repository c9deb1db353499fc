#pragma once
/// @file
/// Time types of the services. Leases and deadlines use a clock that advances while the machine is
/// suspended (CLOCK_BOOTTIME); the simulator supplies its own time.

#include <chrono>

namespace cloverbank {

using Duration = std::chrono::nanoseconds;

/// Tag type of `TimePoint`. It deliberately has no `now()`: read the time through
/// `Environment::Now()`.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): std::chrono requires this name.
  static constexpr bool is_steady = true;
};

using TimePoint = BootClock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace cloverbank

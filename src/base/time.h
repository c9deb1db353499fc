#pragma once
/// @file
/// Time as the cores see it. Leases and deadlines run on a clock that advances while the machine is
/// suspended (CLOCK_BOOTTIME); the simulator supplies its own.

#include <chrono>

namespace cloverbank {

using Duration = std::chrono::nanoseconds;

/// Tag clock: there is deliberately no `now()`. Read time through `Environment::Now()`.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the name that std::chrono asks for.
  static constexpr bool is_steady = true;
};

using TimePoint = BootClock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace cloverbank

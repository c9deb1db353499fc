#pragma once
/// @file
/// The one clock and queue of the simulated world: actions run in order of their time, and those of
/// one time in the order they were asked for.

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace cloverbank {

class EventQueue {
 public:
  TimePoint now() const { return now_; }
  /// Runs `action` at `at`, or now if `at` has passed; never from within this call.
  void Schedule(TimePoint at, std::function<void()> action);
  /// Runs the next action due at or before `limit`, moving the clock to its time.
  /// @return false if there is none.
  bool RunNext(TimePoint limit);
  /// Moves the clock forward to `time`; requires that nothing is due before.
  void AdvanceTo(TimePoint time);
  /// Drops everything waiting without running it.
  void Clear();

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
  };
  static bool RunsLater(const Event& left, const Event& right);

  /// Not zero, so that a default `TimePoint` lies in the past.
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t next_sequence_ = 0;
  std::vector<Event> heap_;  ///< Earliest first, in the order of `RunsLater`.
};

}  // namespace cloverbank

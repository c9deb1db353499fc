#pragma once
/// @file
/// Clock and event queue of the simulated world. Actions run in the order of their times, and
/// actions with the same time in the order in which they were scheduled.

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace cloverbank {

class EventQueue {
 public:
  TimePoint now() const { return now_; }
  /// Schedules `action` for `at`, or for the current time if `at` has passed. Never runs it within
  /// this call.
  void Schedule(TimePoint at, std::function<void()> action);
  /// Advances the clock to the next action that is due at or before `limit` and runs it.
  /// @return false if there is no such action.
  bool RunNext(TimePoint limit);
  /// Moves the clock forward to `time`. No action may be due before that.
  void AdvanceTo(TimePoint time);
  /// Discards all scheduled actions without running them.
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
  std::vector<Event> heap_;  ///< Heap ordered by `RunsLater`: the earliest event is first.
};

}  // namespace cloverbank

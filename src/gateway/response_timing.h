#pragma once
/// @file
/// Compares the times at which the parts of a response were received with its route's targets, and
/// determines why a late response is late. Pure. Times count from the admission of the call at this
/// gateway; earlier network time and attempts are not included.

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

/// Why a response is late.
enum class Lateness : std::uint8_t {
  kNone,
  kFirstChunk,        ///< The first event of a stream was received after the target.
  kPause,             ///< The pause between two events exceeded the target.
  kCompleteResponse,  ///< A response in one piece was received after the target.
};

/// @return the stable snake_case name, for metrics and logs.
std::string_view LatenessName(Lateness lateness);

/// A route's targets for a response; zero: none.
struct ResponseTargets {
  Duration first_response{};  ///< Until the first event, or until a response in one piece.
  Duration longest_pause{};   ///< Between two events.
};

class ResponseTiming {
 public:
  ResponseTiming(ResponseTargets targets, TimePoint started)
      : targets_(targets), started_(started) {}

  /// Records that an event of a stream was received.
  void OnEvent(TimePoint now);
  /// Records that a response in one piece was received.
  void OnComplete(TimePoint now);

  /// @return why the response is late so far; a late first event is reported before a long pause.
  Lateness lateness() const;
  /// @return time until the first event or the complete response; zero before.
  Duration first_response_delay() const { return first_response_delay_; }
  /// @return the longest time between two events so far; zero before the second event.
  Duration longest_pause() const { return longest_pause_; }
  /// @return when that pause began, as time since the start.
  Duration longest_pause_start() const { return longest_pause_start_; }
  std::uint32_t events() const { return events_; }

 private:
  ResponseTargets targets_;
  TimePoint started_;
  TimePoint last_event_{};
  Duration first_response_delay_{};
  Duration longest_pause_{};
  Duration longest_pause_start_{};
  std::uint32_t events_ = 0;
  bool complete_ = false;
};

}  // namespace cloverbank

#pragma once
/// @file
/// When the parts of one answer reached this gateway, judged against what its route promises: names
/// what made an answer late. Pure. Times count from the moment the call was admitted here; what the
/// caller waited before, on the way or in an earlier try, is not seen.

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

/// What made an answer late, if anything.
enum class Lateness : std::uint8_t {
  kNone,
  kFirstChunk,        ///< The first event of a stream came after the target.
  kPause,             ///< Two events of a stream lay further apart than the route allows.
  kCompleteResponse,  ///< An answer in one piece came after the target.
};

/// @return the stable snake_case name, for metrics and logs.
std::string_view LatenessName(Lateness lateness);

/// What a route promises of an answer. Zero is no promise.
struct ResponseTargets {
  Duration target{};         ///< Until the first event, or until an answer in one piece.
  Duration longest_pause{};  ///< Between two events.
};

class ResponseTiming {
 public:
  ResponseTiming(ResponseTargets targets, TimePoint started)
      : targets_(targets), started_(started) {}

  /// An event of a stream is there.
  void OnEvent(TimePoint now);
  /// An answer in one piece is there.
  void OnComplete(TimePoint now);

  /// @return the first cause that makes the answer late, as far as it has come.
  Lateness lateness() const;
  /// @return time until the first event or the whole answer; zero before.
  Duration first_after() const { return first_after_; }
  /// @return the longest time between two events so far, and when it began, after the start.
  Duration longest_pause() const { return longest_pause_; }
  Duration longest_pause_from() const { return longest_pause_from_; }
  std::uint32_t events() const { return events_; }

 private:
  ResponseTargets targets_;
  TimePoint started_;
  TimePoint last_event_{};
  Duration first_after_{};
  Duration longest_pause_{};
  Duration longest_pause_from_{};
  std::uint32_t events_ = 0;
  bool complete_ = false;
};

}  // namespace cloverbank

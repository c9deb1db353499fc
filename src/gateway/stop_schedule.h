#pragma once
/// @file
/// When a graceful stop of the process ends what.

#include "base/time.h"

namespace cloverbank {

struct StopSchedule {
  /// How long before the end of the process the last answers are sent, so that they reach the
  /// client.
  static constexpr Duration kLastAnswerLead = milliseconds(200);

  /// Until then a call is admitted with all its time; later only one that ends in time for an
  /// answer.
  TimePoint admits_until;
  TimePoint ends_at;  ///< The process ends then at the latest.

  TimePoint LastAnswersAt() const { return ends_at - kLastAnswerLead; }
};

}  // namespace cloverbank

#include "gateway/response_timing.h"

namespace cloverbank {

std::string_view LatenessName(Lateness lateness) {
  switch (lateness) {
    case Lateness::kNone:
      return "none";
    case Lateness::kFirstChunk:
      return "first_chunk";
    case Lateness::kPause:
      return "pause";
    case Lateness::kCompleteResponse:
      return "complete_answer";
  }
  return "none";
}

void ResponseTiming::OnEvent(TimePoint now) {
  if (events_ == 0) {
    first_response_delay_ = now - started_;
  } else if (now - last_event_ > longest_pause_) {
    longest_pause_ = now - last_event_;
    longest_pause_start_ = last_event_ - started_;
  }
  last_event_ = now;
  ++events_;
}

void ResponseTiming::OnComplete(TimePoint now) {
  complete_ = true;
  first_response_delay_ = now - started_;
}

Lateness ResponseTiming::lateness() const {
  const bool has_response_target = targets_.first_response > Duration::zero();
  if (has_response_target && first_response_delay_ > targets_.first_response) {
    return complete_ ? Lateness::kCompleteResponse : Lateness::kFirstChunk;
  }
  const bool has_pause_target = targets_.longest_pause > Duration::zero();
  return has_pause_target && longest_pause_ > targets_.longest_pause ? Lateness::kPause
                                                                     : Lateness::kNone;
}

}  // namespace cloverbank

#include "batch_work/start_refusal.h"

namespace cloverbank {

std::string_view StartRefusalName(StartRefusal refusal) {
  switch (refusal) {
    case StartRefusal::kNone:
      return "none";
    case StartRefusal::kWindowExpired:
      return "window_over";
    case StartRefusal::kNoNodeLease:
      return "node_lease";
    case StartRefusal::kNoCapacity:
      return "no_room";
    case StartRefusal::kPaused:
      return "paused";
    case StartRefusal::kLeaseEnded:
      return "lease_ended";
    case StartRefusal::kNoRoute:
      return "no_route";
    case StartRefusal::kMustNotRepeat:
      return "must_not_repeat";
  }
  return "none";
}

bool DependsOnConfiguration(StartRefusal refusal) {
  return refusal == StartRefusal::kNoRoute || refusal == StartRefusal::kMustNotRepeat;
}

}  // namespace cloverbank

#include "calls/call_failure.h"

namespace cloverbank {
namespace {

constexpr Duration kShortRetryAfter = milliseconds(500);

}  // namespace

CallFailureDetails DescribeCallFailure(CallFailure failure) {
  switch (failure) {
    case CallFailure::kDeadlineReached:
      return {"deadline_reached", "the deadline passed before an answer came", kShortRetryAfter};
    case CallFailure::kLeaseExpired:
      return {"lease_expired", "this gateway has lost touch with control; try another one",
              kShortRetryAfter};
    case CallFailure::kNoReplicaList:
      return {"no_replica_list", "this gateway has not read the list of replicas yet",
              kShortRetryAfter};
    case CallFailure::kUnknownRoute:
      return {"unknown_route", "the configuration no longer has this route", Duration::zero()};
    case CallFailure::kStartWithdrawn:
      return {"start_withdrawn", "the right to start this call ran out", Duration::zero()};
    case CallFailure::kNoCapacity:
      return {"no_room", "no replica has room for batch work now", kShortRetryAfter};
  }
  return {};
}

}  // namespace cloverbank

#include "calls/call_failure.h"

namespace cloverbank {
namespace {

constexpr Duration kShortRetryAfter = milliseconds(500);

}  // namespace

CallFailureDetails DescribeCallFailure(CallFailure failure) {
  switch (failure) {
    case CallFailure::kDeadlineReached:
      return {"deadline_reached", "the deadline passed before a complete response was received",
              kShortRetryAfter};
    case CallFailure::kLeaseExpired:
      return {"lease_expired",
              "this gateway has no valid lease from the coordinators; try another gateway",
              kShortRetryAfter};
    case CallFailure::kNoReplicaList:
      return {"no_replica_list", "this gateway has not read the list of replicas yet",
              kShortRetryAfter};
    case CallFailure::kUnknownRoute:
      return {"unknown_route", "the configuration no longer has the route of this call",
              Duration::zero()};
    case CallFailure::kBatchRoute:
      return {"batch_route", "by the configuration this request is a batch now; send it again",
              kShortRetryAfter};
    case CallFailure::kNotRepeatable:
      return {"not_repeatable",
              "the call may have run, and by the configuration it must not run again",
              Duration::zero()};
    case CallFailure::kStartWithdrawn:
      return {"start_withdrawn",
              "this batch item may no longer start, e.g. because its work lease ended",
              Duration::zero()};
    case CallFailure::kNoCapacity:
      return {"no_room", "no replica has free capacity for batch work now", kShortRetryAfter};
    case CallFailure::kStopping:
      return {"gateway_stopping", "this gateway is stopping; try another gateway",
              kShortRetryAfter};
  }
  return {};
}

std::uint32_t JitteredRetryAfterMs(Duration retry_after, std::uint64_t random) {
  const auto wait_ms =
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(retry_after).count());
  const std::uint64_t jitter_ms = random % (std::uint64_t{wait_ms} / 2 + 1);
  return wait_ms + static_cast<std::uint32_t>(jitter_ms);
}

}  // namespace cloverbank

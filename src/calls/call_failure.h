#pragma once
/// @file
/// Reasons for which a gateway ends a call itself, without a response of a replica. Pure.

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

enum class CallFailure : std::uint8_t {
  kDeadlineReached,
  kLeaseExpired,    ///< The gateway has no valid node lease, so it must not forward calls.
  kNoReplicaList,   ///< The gateway has not read the list of replicas yet.
  kUnknownRoute,    ///< The configuration no longer has a route for the call.
  kBatchRoute,      ///< By the configuration the request of a live call is now a batch.
  kNotRepeatable,   ///< The call may have run, and by the configuration it must not run again.
  kStartWithdrawn,  ///< A batch item may no longer start, e.g. because its work lease ended.
  kNoCapacity,      ///< No replica has capacity for batch work.
  kStopping,        ///< The gateway is stopping, and the call cannot end before it does.
};

/// The error that the client gets.
struct CallFailureDetails {
  std::string_view code;     ///< Stable snake_case name, for clients and metrics.
  std::string_view message;  ///< For people.
  Duration retry_after{};    ///< Zero: repeating the call does not help.
};

CallFailureDetails DescribeCallFailure(CallFailure failure);

/// @param random a random number. @return `retry_after` in milliseconds, lengthened at random by up
/// to half, so that clients that were refused together do not return together.
std::uint32_t JitteredRetryAfterMs(Duration retry_after, std::uint64_t random);

}  // namespace cloverbank

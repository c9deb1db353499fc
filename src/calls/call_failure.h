#pragma once
/// @file
/// Why a gateway ends a call by itself, without the result of an attempt at a replica. Pure.

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

enum class CallFailure : std::uint8_t {
  kDeadlineReached,
  kLeaseExpired,    ///< The gateway may not forward calls now.
  kNoReplicaList,   ///< It has not read the list of replicas yet.
  kUnknownRoute,    ///< The configuration no longer has the route.
  kStartWithdrawn,  ///< The work lease of a batch item ended.
  kNoCapacity,      ///< No replica has capacity for batch work.
};

/// What the client is told.
struct CallFailureDetails {
  std::string_view code;
  std::string_view message;
  Duration retry_after{};  ///< Zero: repeating the call does not help.
};

CallFailureDetails DescribeCallFailure(CallFailure failure);

/// @param random any number. @return `retry_after` in milliseconds and up to half as long again, so
/// that clients that were refused together do not return together.
std::uint32_t JitteredRetryAfterMs(Duration retry_after, std::uint64_t random);

}  // namespace cloverbank

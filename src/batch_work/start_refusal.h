#pragma once
/// @file
/// Why a batch item may not start now, and which of these reasons are final. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace cloverbank {

/// Why an item may not start now.
enum class StartRefusal : std::uint8_t {
  kNone,           ///< It may start.
  kWindowExpired,  ///< The grant's time to start has expired.
  kNoNodeLease,    ///< The gateway has no valid node lease.
  kNoCapacity,     ///< Live calls use the capacity.
  kPaused,         ///< Operators paused batch work.
  kLeaseEnded,     ///< The queue node ended the lease.
  kNoRoute,        ///< The configuration no longer has the route: the item can not run.
  kMustNotRepeat,  ///< Accepted as idempotent, but the route no longer is: the item can not run.
};
/// @return the stable snake_case name, for metrics.
std::string_view StartRefusalName(StartRefusal refusal);

/// @return whether no other gateway and no later time can lift the refusal.
bool IsFinal(StartRefusal refusal);
/// @return what the item's client is told of a final refusal.
std::string ExplainFinalRefusal(StartRefusal refusal, const std::string& route);

}  // namespace cloverbank

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
  kWindowExpired,  ///< The grant's start window has expired.
  kNoNodeLease,    ///< The gateway has no valid node lease.
  kNoCapacity,     ///< Live calls use the capacity.
  kPaused,         ///< Operators paused batch work.
  kLeaseEnded,     ///< The queue node ended the lease.
  kNoRoute,        ///< The configuration no longer has the route, so the item cannot run.
  kMustNotRepeat,  ///< Accepted as idempotent, but the route no longer is, so the item cannot run.
};
/// @return the stable snake_case name, for metrics.
std::string_view StartRefusalName(StartRefusal refusal);

/// @return whether the item could not start at any other gateway or at a later time either.
bool IsFinal(StartRefusal refusal);
/// @return the error text that the client gets as the item's result after a final refusal.
std::string ExplainFinalRefusal(StartRefusal refusal, const std::string& route);

}  // namespace cloverbank

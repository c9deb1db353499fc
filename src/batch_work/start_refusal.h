#pragma once
/// @file
/// Why a batch item may not start now, and which of these reasons end the item for good. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace cloverbank {

/// Why an item may not start now.
enum class StartRefusal : std::uint8_t {
  kNone,           ///< It may start.
  kWindowExpired,  ///< The grant's time to start has run out.
  kNodeLease,      ///< The gateway may not act.
  kNoCapacity,     ///< Live work took the room back.
  kPaused,         ///< Operators stopped batch work.
  kLeaseEnded,     ///< The queue node took the lease back.
  kNoRoute,        ///< The configuration no longer has the route: the item can not run.
  kMustNotRepeat,  ///< Accepted as repeatable, but the route no longer is: the item can not run.
};
/// @return the stable snake_case name, for metrics.
std::string_view StartRefusalName(StartRefusal refusal);

/// @return whether no other gateway and no later time can lift the refusal.
bool IsFinal(StartRefusal refusal);
/// @return what the item's client is told of a final refusal.
std::string ExplainFinalRefusal(StartRefusal refusal, const std::string& route);

}  // namespace cloverbank

#pragma once
/// @file
/// Why a batch item may not start at this gateway now. None of the reasons is final: whether an
/// item can never run is decided by the owner of its partition. Pure.

#include <cstdint>
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
  kNoRoute,        ///< This gateway's configuration has no route for the item.
  kMustNotRepeat,  ///< Accepted as idempotent, but by this gateway's configuration the route is
                   ///< not.
};
/// @return the stable snake_case name, for metrics.
std::string_view StartRefusalName(StartRefusal refusal);

/// Whether the gateway waits for another configuration before it returns the item to its queue
/// node. The gateway may be a version behind or ahead of the node, so the refusal says nothing
/// final.
bool DependsOnConfiguration(StartRefusal refusal);

}  // namespace cloverbank

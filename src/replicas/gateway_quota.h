#pragma once
/// @file
/// The part of a replica's capacity that one gateway may use, so that all gateways together stay
/// within it without communicating: the capacity is divided among the gateways of the replica's
/// zone, by the rank that the coordinators assigned to each. Where there are more gateways than
/// slots, some get none; which ones differs from replica to replica. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace cloverbank {

struct GatewayQuota {
  std::string zone;         ///< The gateway's own.
  std::uint32_t index = 0;  ///< Rank, below `count`; unique within the zone.
  std::uint32_t count = 1;

  bool operator==(const GatewayQuota&) const = default;

  /// @return this gateway's quota of a replica's slots. The quotas of all gateways add up to
  /// `slots`.
  std::uint32_t SlotsFor(std::string_view replica_id, std::string_view replica_zone,
                         std::uint32_t slots) const;
  /// @return this gateway's quota of a rate; 0 if other gateways have it. If every gateway spaces
  /// its starts evenly, all of them together start at most 1.5 times the rate in any second.
  double RateFor(std::string_view replica_id, std::string_view replica_zone,
                 double per_second) const;

 private:
  /// @return whether this is one of the `divisor` gateways that are selected for the replica.
  bool IsSelected(std::string_view replica_id, std::uint32_t selected_count) const;
};

}  // namespace cloverbank

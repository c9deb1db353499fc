#pragma once
/// @file
/// Which part of a replica's room one gateway may take, so that all gateways together stay within
/// it without asking each other: the room is divided among the gateways of the replica's zone, by
/// the place that the coordinators gave each of them. Where there are more gateways than parts,
/// some get none, others with each replica. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace cloverbank {

struct GatewayQuota {
  std::string zone;         ///< The gateway's own.
  std::uint32_t index = 0;  ///< Below `count`; another one for each gateway of the zone.
  std::uint32_t count = 1;

  bool operator==(const GatewayQuota&) const = default;

  /// @return this gateway's part of the slots of a replica. The parts of all add up to `slots`.
  std::uint32_t SlotsOf(std::string_view replica_id, std::string_view replica_zone,
                        std::uint32_t slots) const;
  /// @return this gateway's part of a rate, 0 if others have it. If every gateway spaces its starts
  /// evenly, all together start no more than one and a half of the rate in any second.
  double RateOf(std::string_view replica_id, std::string_view replica_zone,
                double per_second) const;

 private:
  /// @return whether this is one of `parts` gateways that are drawn for the replica.
  bool IsSelected(std::string_view replica_id, std::uint32_t divisor) const;
};

}  // namespace cloverbank

#pragma once
/// @file
/// The part of a replica's capacity that one gateway may use, so that all gateways together stay
/// within the capacity without communicating. The capacity is divided among the gateways of the
/// replica's zone by the rank that the coordinators assigned to each gateway. If there are more
/// gateways than slots, some gateways get none; which ones differs from replica to replica. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace cloverbank {

struct GatewayQuota {
  std::string zone;         ///< Zone of the gateway.
  std::uint32_t index = 0;  ///< Rank of the gateway, below `count`; unique within the zone.
  std::uint32_t count = 1;  ///< Gateways of the zone.

  bool operator==(const GatewayQuota&) const = default;

  /// @return this gateway's quota of a replica's slots (concurrent calls); 0 for a replica of
  /// another zone. The quotas of all gateways of the zone add up to `slots`.
  std::uint32_t SlotsFor(std::string_view replica_id, std::string_view replica_zone,
                         std::uint32_t slots) const;
  /// @return this gateway's turn at the replica, below `count`; each gateway of the zone has
  /// another one, and those with a quota of slots have the first turns.
  std::uint32_t TurnFor(std::string_view replica_id) const;
  /// @param per_second calls per second that the replica accepts from all gateways.
  /// @return this gateway's quota of the rate, in calls per second; 0 if only other gateways have a
  /// quota of this replica. If every gateway spaces its starts evenly, all of them together start
  /// at most 1.5 times the rate in any second.
  double RateFor(std::string_view replica_id, std::string_view replica_zone,
                 double per_second) const;

 private:
  /// @return whether this is one of the `selected_count` gateways that are selected for the
  /// replica.
  bool IsSelected(std::string_view replica_id, std::uint32_t selected_count) const;
};

}  // namespace cloverbank

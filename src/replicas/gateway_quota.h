#pragma once
/// @file
/// The part of a replica's capacity that one gateway may use, so that all gateways together stay
/// within the capacity without communicating. The capacity is divided among the gateways of the
/// replica's zone by the rank that the coordinators assigned to each gateway. If there are more
/// gateways than slots, some gateways get none; which ones differs from replica to replica. The
/// replicas of a zone without gateways are divided among gateways of other zones. Pure.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control_client/fleet_view.h"

namespace cloverbank {

struct GatewayQuota {
  std::string zone;    ///< Zone of the gateway.
  ZoneRank rank = {};  ///< Of the gateway among those of its zone.
  /// Its rank for each zone without gateways that it serves, too.
  std::map<std::string, ZoneRank> zones_without_gateway = {};

  bool operator==(const GatewayQuota&) const = default;

  /// @return this gateway's quota of a replica's slots (concurrent calls); 0 for a replica of
  /// another zone that has gateways. The quotas of all gateways that serve the zone add up to
  /// `slots`.
  std::uint32_t SlotsFor(std::string_view replica_id, std::string_view replica_zone,
                         std::uint32_t slots) const;
  /// @return this gateway's turn at the replica, below the number of gateways that serve the zone;
  /// each of them has another one, and those with a quota of slots have the first turns.
  std::uint32_t TurnFor(std::string_view replica_id, std::string_view replica_zone) const;
  /// @param per_second calls per second that the replica accepts from all gateways.
  /// @return this gateway's quota of the rate, in calls per second; 0 if only other gateways have a
  /// quota of this replica, or it is in another zone. If every gateway spaces its starts evenly,
  /// all of them together start at most 1.5 times the rate in any second.
  double RateFor(std::string_view replica_id, std::string_view replica_zone,
                 double per_second) const;

 private:
  /// @return the rank at the replicas of that zone; none if this gateway does not serve it.
  std::optional<ZoneRank> RankAt(std::string_view replica_zone) const;
};

}  // namespace cloverbank

#pragma once
/// @file
/// A node's view of the fleet, as of the last heartbeat response.

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// The servers and partition owners as last received from the coordinators. The version never
/// decreases. Dead servers are not listed.
struct FleetView {
  FleetVersion version;
  std::map<NodeId, proto::Server> servers;  ///< Queue and backup nodes.
  std::map<PartitionId, proto::Partition> partitions;
  /// @return the queue node that owns `partition`, or nullptr while it has no owner or its owner is
  /// not listed. The pointer is valid until the view changes.
  const proto::Server* OwnerOf(PartitionId partition) const;
};

/// Rank of a gateway among the live gateways that serve the replicas of a zone.
struct ZoneRank {
  std::uint32_t index = 0;  ///< From 0 to `count` - 1.
  std::uint32_t count = 1;
  bool operator==(const ZoneRank&) const = default;
};

/// The zones whose replicas a gateway serves, as of the last heartbeat response.
struct GatewayRank {
  ZoneRank own_zone;
  /// By name; zones that have no live gateway.
  std::map<std::string, ZoneRank> zones_without_gateway = {};
  bool operator==(const GatewayRank&) const = default;
};

}  // namespace cloverbank

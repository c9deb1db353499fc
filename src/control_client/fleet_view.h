#pragma once
/// @file
/// A node's view of the fleet, as of the last heartbeat response.

#include <cstdint>
#include <map>

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

/// Rank of a gateway among the live gateways of its zone, as of the last heartbeat
/// response.
struct GatewayRank {
  std::uint32_t index = 0;  ///< From 0 to `count` - 1.
  std::uint32_t count = 1;
  bool operator==(const GatewayRank&) const = default;
};

}  // namespace cloverbank

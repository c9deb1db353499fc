#pragma once
/// @file
/// A node's view of the fleet, as of the last heartbeat.

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// The servers and partition owners as last received. The version never decreases; dead servers are
/// left out.
struct FleetView {
  FleetVersion version;
  std::map<NodeId, proto::Server> servers;  ///< Queue and backup nodes.
  std::map<PartitionId, proto::Partition> partitions;
  /// @return the queue node that owns `partition`, or nullptr while it has no owner.
  const proto::Server* OwnerOf(PartitionId partition) const;
};

/// Rank of a gateway among the live gateways of its zone, as of the last heartbeat.
struct GatewayRank {
  std::uint32_t index = 0;  ///< Below `count`.
  std::uint32_t count = 1;
  bool operator==(const GatewayRank&) const = default;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Chooses the queue nodes to which partitions are assigned. Does no I/O and keeps no state.

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "control_state/control_state.h"

namespace cloverbank {

/// @return the live queue nodes to which partitions may be assigned: those that are neither
/// retiring nor `unresponsive` nor superseded by a later incarnation. If there are none, the
/// retiring nodes that are neither unresponsive nor superseded; if there are none of these either,
/// the unresponsive and superseded ones.
std::vector<NodeId> FindEligibleQueueNodes(const ControlState& state,
                                           const std::set<NodeId>& unresponsive);

/// For each queue node, the number of partitions placed on it that the replicated state does not
/// show yet.
using PlannedLoads = std::map<NodeId, std::size_t>;

/// Places each of `partitions` on the eligible queue node with the fewest partitions; those that
/// the node owns, those that it replays and those `planned` for it all count.
/// @return partitions by node; empty if no queue node is live.
std::map<NodeId, std::vector<PartitionId>> PlacePartitions(
    const std::vector<PartitionId>& partitions, const ControlState& state,
    const std::set<NodeId>& unresponsive, const PlannedLoads& planned = {});

/// @return whether `server` is a retiring queue node that still has partitions while another queue
/// node can take them over. The leader then refuses its heartbeats, so that it registers again as
/// after a restart: its partitions move to other nodes by the ordinary recovery, without waiting
/// for its lease to expire.
bool MustHandOverPartitions(const ControlState& state, const proto::Server& server,
                            const std::set<NodeId>& unresponsive);

}  // namespace cloverbank

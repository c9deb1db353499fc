#pragma once
/// @file
/// Places partitions on queue nodes. Pure.

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "control_state/control_state.h"

namespace cloverbank {

/// @return live queue nodes to which partitions may be assigned: those that are neither retiring
/// nor `unresponsive` nor superseded; if there are none, the retiring ones; else the others.
std::vector<NodeId> FindEligibleQueueNodes(const ControlState& state,
                                           const std::set<NodeId>& unresponsive);

/// Number of partitions placed on each queue node that the replicated state does not show yet.
using PlannedLoads = std::map<NodeId, std::size_t>;

/// Places each of `partitions` on the eligible queue node with the fewest partitions: owned, being
/// replayed or `planned`. @return partitions by node; empty if no queue node is live.
std::map<NodeId, std::vector<PartitionId>> PlacePartitions(
    const std::vector<PartitionId>& partitions, const ControlState& state,
    const std::set<NodeId>& unresponsive, const PlannedLoads& planned = {});

/// @return whether `server` is a retiring queue node that still has partitions while another queue
/// node is up. Its heartbeats are then refused, so that it registers again as after a restart: its
/// partitions move by the ordinary recovery without waiting for its lease to expire.
bool MustHandOver(const ControlState& state, const proto::Server& server,
                  const std::set<NodeId>& unresponsive);

}  // namespace cloverbank

#pragma once
/// @file
/// Chooses which queue node gets which partition. Pure.

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "control_state/control_state.h"

namespace cloverbank {

/// @return live queue nodes that may be given partitions: those that are neither being retired nor
/// `unresponsive` (silent, not yet dead); if there is none, the retiring ones; else the
/// unresponsive ones.
std::vector<NodeId> FindEligibleQueueNodes(const ControlState& state,
                                           const std::set<NodeId>& unresponsive);

/// Partitions that queue nodes are to get and that the state does not show yet.
using PlannedLoads = std::map<NodeId, std::size_t>;

/// Spreads `partitions` over the eligible queue nodes, each to the one that owns, replays and is to
/// get the fewest then. @return empty if no queue node is live.
std::map<NodeId, std::vector<PartitionId>> PlacePartitions(
    const std::vector<PartitionId>& partitions, const ControlState& state,
    const std::set<NodeId>& unresponsive, const PlannedLoads& planned = {});

/// @return whether `server` is a queue node being retired that still has partitions, while another
/// queue node can take them. It is then told to give up its id, as after a restart: its partitions
/// move by the ordinary recovery, without waiting for its lease to run out.
bool MustHandOver(const ControlState& state, const proto::Server& server,
                  const std::set<NodeId>& unresponsive);

}  // namespace cloverbank

#pragma once
/// @file
/// Chooses which queue node gets which partition. Pure.

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"

namespace cloverbank {

/// @return live queue nodes that may be given partitions: those that are neither being retired nor
/// `doubtful` (silent, not yet dead); if there is none, the retiring ones; else the doubtful ones.
std::vector<NodeId> EligibleQueueNodes(const ControlState& state, const std::set<NodeId>& doubtful);

/// Partitions that queue nodes are to get and that the state does not show yet.
using PlannedLoads = std::map<NodeId, std::size_t>;

/// Spreads `partitions` over the eligible queue nodes, each to the one that owns, replays and is to
/// get the fewest then. @return empty if no queue node is live.
std::map<NodeId, std::vector<PartitionId>> SpreadPartitions(
    const std::vector<PartitionId>& partitions, const ControlState& state,
    const std::set<NodeId>& doubtful, const PlannedLoads& planned = {});

/// @return whether `server` is a queue node being retired that still has partitions, while another
/// queue node can take them. It is then told to give up its id, as after a restart: its partitions
/// move by the ordinary recovery, without waiting for its lease to run out.
bool MustHandOver(const ControlState& state, const proto::Server& server,
                  const std::set<NodeId>& doubtful);

/// Waits, before partitions are given out, until queue nodes have stopped arriving: when all store
/// machines start together, the first to register should not get everything. Pure.
class ArrivalGate {
 public:
  /// @param quiet how long no queue node must have come.
  /// @param longest the longest time the gate stays shut after it was first asked.
  ArrivalGate(Duration quiet, Duration longest) : quiet_(quiet), longest_(longest) {}

  /// Forgets everything: this member became leader.
  void Reset();
  /// @return whether partitions may be given out now. `waiting`: whether any wait.
  bool IsOpen(const ControlState& state, const std::set<NodeId>& doubtful, bool waiting,
              TimePoint now);

 private:
  Duration quiet_;
  Duration longest_;
  std::vector<NodeId> known_;
  TimePoint last_arrival_;
  TimePoint waiting_since_;
  bool waiting_ = false;
};

}  // namespace cloverbank

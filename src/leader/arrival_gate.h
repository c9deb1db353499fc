#pragma once
/// @file
/// Delays the assignment of partitions until queue nodes have stopped registering. Otherwise, when
/// all store machines start together, the first queue node to register would be assigned every
/// partition. Does no I/O: the caller passes the state and the time.

#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"

namespace cloverbank {

class ArrivalGate {
 public:
  /// @param quiet_period partitions may be assigned once no new queue node has become eligible for
  /// this long.
  /// @param maximum_wait partitions may be assigned in any case once a partition to assign and an
  /// eligible queue node have both existed for this long.
  ArrivalGate(Duration quiet_period, Duration maximum_wait)
      : quiet_period_(quiet_period), maximum_wait_(maximum_wait) {}

  /// Drops all state. Call it when this member becomes leader.
  void Reset();
  /// Records the queue nodes that are eligible at `now`. Call it at each step of the leader.
  /// @param unresponsive see `FindEligibleQueueNodes`.
  /// @param partitions_waiting whether there are partitions to assign.
  /// @return whether they may be assigned now; false if there are none or no node is eligible.
  bool Update(const ControlState& state, const std::set<NodeId>& unresponsive,
              bool partitions_waiting, TimePoint now);

 private:
  /// Sets `last_arrival_` to `now` if a node is eligible that was not at the last update.
  void RecordArrivals(std::vector<NodeId> eligible, TimePoint now);

  Duration quiet_period_;
  Duration maximum_wait_;
  std::vector<NodeId> eligible_;  ///< At the last update.
  TimePoint last_arrival_;        ///< When a queue node last became eligible.
  /// Since when there have been both partitions to assign and an eligible queue node.
  std::optional<TimePoint> waiting_since_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Delays the assignment of partitions until queue nodes have stopped arriving. Pure.

#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"

namespace cloverbank {

/// Waits, before partitions are given out, until queue nodes have stopped arriving: when all store
/// machines start together, the first to register should not get everything. Pure.
class ArrivalGate {
 public:
  /// @param quiet how long no queue node must have come.
  /// @param longest the longest time the gate stays shut after it was first asked.
  ArrivalGate(Duration quiet, Duration longest) : quiet_period_(quiet), maximum_wait_(longest) {}

  /// Forgets everything: this member became leader.
  void Reset();
  /// Records the queue nodes that are eligible at `now`. `waiting`: whether partitions wait to be
  /// assigned. @return whether they may be assigned now.
  bool Update(const ControlState& state, const std::set<NodeId>& unresponsive, bool waiting,
              TimePoint now);

 private:
  void RecordArrivals(std::vector<NodeId> eligible, TimePoint now);

  Duration quiet_period_;
  Duration maximum_wait_;
  std::vector<NodeId> eligible_;
  TimePoint last_arrival_;
  std::optional<TimePoint> waiting_since_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Delays the assignment of partitions until queue nodes have stopped registering: when all store
/// machines start together, the first to register should not be assigned every partition. Pure.

#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"

namespace cloverbank {

class ArrivalGate {
 public:
  /// @param quiet_period time without a new eligible queue node after which the gate opens.
  /// @param maximum_wait time after the first partition waited at which it opens in any case.
  ArrivalGate(Duration quiet_period, Duration maximum_wait)
      : quiet_period_(quiet_period), maximum_wait_(maximum_wait) {}

  /// Drops all state: this member became leader.
  void Reset();
  /// Records the queue nodes that are eligible at `now`. `partitions_waiting`: whether partitions
  /// wait to be assigned. @return whether they may be assigned now.
  bool Update(const ControlState& state, const std::set<NodeId>& unresponsive,
              bool partitions_waiting, TimePoint now);

 private:
  void RecordArrivals(std::vector<NodeId> eligible, TimePoint now);

  Duration quiet_period_;
  Duration maximum_wait_;
  std::vector<NodeId> eligible_;
  TimePoint last_arrival_;
  std::optional<TimePoint> waiting_since_;
};

}  // namespace cloverbank

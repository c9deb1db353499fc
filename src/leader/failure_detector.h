#pragma once
/// @file
/// Detects failed nodes by missing heartbeats, never before the node's lease has expired. Pure.
///
/// Time without a heartbeat counts only while this leader could have received one: from its start,
/// and not during a pause of its own (lost leader lease, frozen process).

#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"
#include "leader/lease_table.h"

namespace cloverbank {

class FailureDetector {
 public:
  explicit FailureDetector(Duration death_after) : death_after_(death_after) {}

  /// Begins to measure all nodes at `now`.
  void Start(TimePoint now);
  /// Excludes the `length` before `now`, in which the leader could receive no heartbeat.
  void ExcludePause(Duration length, TimePoint now);
  /// A heartbeat of `node` arrived.
  void RecordHeartbeat(NodeId node, TimePoint now);
  /// A peer reports that calls to `node` fail. Unless a heartbeat arrives, the node then counts as
  /// dead sooner, though not before its lease has expired.
  void RecordSuspicion(NodeId node, TimePoint now);
  /// Forgets the nodes that are not in `live`.
  void ForgetAllBut(const std::set<NodeId>& live);

  /// @return time of the last heartbeat of `node`, or the start of the measurement if that is
  /// later.
  TimePoint LastHeardFrom(NodeId node) const;
  /// @return whether `node` has no lease and has sent no heartbeat for long enough to count as
  /// dead.
  bool IsDead(NodeId node, const LeaseTable& leases, TimePoint now) const;

 private:
  Duration death_after_;
  TimePoint started_;
  std::map<NodeId, TimePoint> last_heartbeats_;
  std::set<NodeId> suspected_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Detects failed nodes by missing heartbeats, never before the node's lease has expired. Does no
/// I/O: the caller passes the time and reports the heartbeats.
///
/// Time without a heartbeat counts only while this leader could have received one: only since it
/// became leader, and not while it was itself paused (lost leader lease, frozen process).

#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"
#include "leader/lease_table.h"

namespace cloverbank {

class FailureDetector {
 public:
  /// @param death_after time without a heartbeat after which a node counts as dead.
  explicit FailureDetector(Duration death_after) : death_after_(death_after) {}

  /// Forgets all heartbeats and suspicions, and measures the silence of every node from `now`.
  void Start(TimePoint now);
  /// Does not count the period of `length` that ended at `now`, in which the leader could receive
  /// no heartbeat, as time without a heartbeat.
  void ExcludePause(Duration length, TimePoint now);
  /// Records that a heartbeat of `node` arrived at `now`, and drops any suspicion of it.
  void RecordHeartbeat(NodeId node, TimePoint now);
  /// Records that a peer reports failing calls to `node`. Unless a heartbeat arrives, the node then
  /// counts as dead after 1.5 s without a heartbeat instead of `death_after`, if that is sooner,
  /// but not before its lease has expired. Has no effect within 1.5 s of the node's last heartbeat.
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
  std::set<NodeId> suspected_;  ///< Nodes for which a suspicion counts.
};

}  // namespace cloverbank

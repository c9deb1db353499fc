#pragma once
/// @file
/// Concludes from silence that a node is dead. Pure: fed with heartbeats and the time, asked which
/// nodes have been silent too long. Never before the node's lease has run out.
///
/// Silence counts only while this leader could have heard: from its start, and not during a pause
/// (lost leader lease, a frozen process), when every node seemed silent through no fault of its
/// own.

#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"
#include "leader/lease_table.h"

namespace cloverbank {

class FailureDetector {
 public:
  explicit FailureDetector(Duration death_after) : death_after_(death_after) {}

  /// Begins to count everybody's silence at `now`.
  void Start(TimePoint now);
  /// The leader could hear nobody for `length` before `now`: it does not count as silence.
  void ExcludePause(Duration length, TimePoint now);
  /// A heartbeat of `node` arrived.
  void RecordHeartbeat(NodeId node, TimePoint now);
  /// A peer reports that calls to `node` fail: it is dead as soon as its lease has run out, unless
  /// it is heard of.
  void RecordSuspicion(NodeId node, TimePoint now);
  /// Forgets the nodes that are not among the `live`.
  void ForgetAllBut(const std::set<NodeId>& live);

  /// @return when `node` was last heard of, or the start of the count.
  TimePoint LastHeardFrom(NodeId node) const;
  /// @return whether `node` has been silent so long, without a lease, that it counts as dead.
  bool IsDead(NodeId node, const LeaseTable& leases, TimePoint now) const;

 private:
  Duration death_after_;
  TimePoint started_;
  std::map<NodeId, TimePoint> last_heartbeats_;
  std::set<NodeId> suspected_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// The node leases that the leader has granted, and the configuration versions that their holders
/// may use. Does no I/O: the caller passes the time. Not replicated: a new leader does not know
/// which leases its predecessor granted, and assumes that each node registered before holds one
/// that lasts one full lease from when the new leader started (docs/DESIGN.md section 2; leases
/// after Gray and Cheriton).
///
/// The holder measures a lease from when it *sent* the request. The leader measures it from when
/// the request *arrived* and adds an allowance for clock drift. So a lease expires at its holder
/// first.

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace cloverbank {

class LeaseTable {
 public:
  /// @param lease length of each lease, without the allowance for clock drift.
  explicit LeaseTable(Duration lease);

  /// Drops all leases. Call it when this member becomes leader, at `now`. Nodes with an id below
  /// `next_node_id` may hold leases that a predecessor granted.
  void Start(TimePoint now, NodeId next_node_id);

  /// Records that the leader answers a request of `node`, which arrived at `arrival`, with a lease
  /// and the configuration `version`.
  void RecordGrant(NodeId node, ConfigurationVersion version, TimePoint arrival);
  /// Records that `node` uses `version`. A node never returns to an older version, so a version
  /// below the recorded one has no effect.
  void RecordConfirmation(NodeId node, ConfigurationVersion version);
  /// @return when the last lease that `node` may hold expires; a past time if it holds none.
  TimePoint FindLeaseEnd(NodeId node) const;
  /// @return the lowest configuration version that `node` may use at `now`; no value if it holds no
  /// lease. While it may hold a lease of a predecessor, whose version is unknown, this is the
  /// newest version that it confirmed, or 0.
  std::optional<ConfigurationVersion> FindLowestVersionInUse(NodeId node, TimePoint now) const;
  /// @return the newest version that `node` confirmed; 0 if none is recorded.
  ConfigurationVersion FindConfirmedVersion(NodeId node) const;
  /// Drops the leases that have expired at `now`, and nodes without a lease once the leases of the
  /// predecessors have expired.
  void Expire(TimePoint now);

  Duration lease() const { return lease_; }

 private:
  struct NodeLeases {
    ConfigurationVersion confirmed;
    /// End of the last lease granted together with each configuration version.
    std::map<ConfigurationVersion, TimePoint> ends;
  };

  Duration lease_;
  Duration lease_with_drift_;         // The lease and the allowance for clock drift.
  TimePoint predecessor_leases_end_;  // When every lease of a predecessor has expired.
  NodeId first_own_node_id_;          // Lower ids were registered before this member became leader.
  std::map<NodeId, NodeLeases> leases_by_node_;
};

}  // namespace cloverbank

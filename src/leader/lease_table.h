#pragma once
/// @file
/// The node leases that the leader has granted, and the configuration versions that their holders
/// may use. Pure. Not replicated: a new leader does not know its predecessor's grants and assumes
/// that each lasts one full lease from its own start (docs/DESIGN.md section 2; leases after Gray
/// and Cheriton).
///
/// The holder counts a lease from when it *sent* the request, the leader from when the request
/// *arrived*, with an allowance for clock drift. So a lease expires at its holder first.

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace cloverbank {

class LeaseTable {
 public:
  explicit LeaseTable(Duration lease);

  /// Drops all leases: this member became leader at `now`. Nodes with an id below `next_node_id`
  /// may hold leases that its predecessor granted.
  void Start(TimePoint now, NodeId next_node_id);

  /// Records that a request of `node` that arrived at `arrival` is answered with a lease and the
  /// configuration `version`.
  void RecordGrant(NodeId node, ConfigurationVersion version, TimePoint arrival);
  /// Records that `node` uses `version`. Nodes never go back, so a lower version has no effect.
  void RecordConfirmation(NodeId node, ConfigurationVersion version);
  /// @return when the last lease that `node` may hold expires; a past time if it holds none.
  TimePoint FindLeaseEnd(NodeId node) const;
  /// @return the lowest configuration version that `node` may use at `now`; none if it holds no
  /// lease; 0 if a predecessor may have granted it one with an unknown version.
  std::optional<ConfigurationVersion> LowestVersionInUse(NodeId node, TimePoint now) const;
  /// @return the newest version that `node` confirmed; 0 if none is recorded.
  ConfigurationVersion FindConfirmedVersion(NodeId node) const;
  /// Drops expired leases.
  void Expire(TimePoint now);

  Duration lease() const { return lease_; }

 private:
  struct NodeLeases {
    ConfigurationVersion confirmed;
    /// End of the last lease granted together with each configuration version.
    std::map<ConfigurationVersion, TimePoint> ends;
  };

  Duration lease_;
  Duration lease_with_drift_;  // The lease and the allowance for clock drift.
  TimePoint predecessor_leases_end_;
  NodeId first_own_node_id_;
  std::map<NodeId, NodeLeases> leases_by_node_;
};

}  // namespace cloverbank

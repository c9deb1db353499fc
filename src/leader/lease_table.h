#pragma once
/// @file
/// The leases the leader has granted, and by which configuration versions their holders may act.
/// Pure; not replicated: a new leader knows none of its predecessor's grants and takes them all to
/// last one full lease from its own start (docs/DESIGN.md section 2; leases after Gray and
/// Cheriton).
///
/// A holder counts a lease from when it *sent* the request; the giver counts the same duration from
/// when the request *arrived*, plus an allowance for clock drift, hence always later.

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace cloverbank {

class LeaseTable {
 public:
  explicit LeaseTable(Duration lease);

  /// Forgets everything: this member became leader at `now`. Nodes with an id below `next_node_id`
  /// may hold leases that its predecessor granted.
  void Start(TimePoint now, NodeId next_node_id);

  /// Notes that a request of `node` that arrived at `arrival` is answered with a lease and the
  /// configuration `version`.
  void RecordGrant(NodeId node, ConfigurationVersion version, TimePoint arrival);
  /// Notes that `node` holds `version`. Nodes never go back, so a lower one changes nothing.
  void RecordConfirmation(NodeId node, ConfigurationVersion version);
  /// @return when the last lease that `node` may hold has run out; a past time if it holds none.
  TimePoint FindLeaseEnd(NodeId node) const;
  /// @return the lowest configuration version by which `node` may act at `now`; none if it holds no
  /// lease. 0: unknown, a predecessor may have granted it one.
  std::optional<ConfigurationVersion> LowestVersionInUse(NodeId node, TimePoint now) const;
  /// @return the newest version that `node` confirmed; 0 if none is remembered.
  ConfigurationVersion FindConfirmedVersion(NodeId node) const;
  /// Forgets leases that have run out.
  void Expire(TimePoint now);

  Duration lease() const { return lease_; }

 private:
  struct Holder {
    ConfigurationVersion confirmed;
    /// End of the last lease granted together with each configuration version.
    std::map<ConfigurationVersion, TimePoint> ends;
  };

  Duration lease_;
  Duration lease_with_drift_;  // The lease and the allowance for drift.
  TimePoint predecessor_leases_end_;
  NodeId first_own_node_id_;
  std::map<NodeId, Holder> holders_;
};

}  // namespace cloverbank

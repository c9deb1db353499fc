#pragma once
/// @file
/// The replicated record of who owns which batch partition, where each queue node's log has its
/// head, and how far the recoveries of dead queue nodes have come. Part of `ControlState`;
/// deterministic. See docs/DESIGN.md section 5 and the RAMCloud page, "Recovery".
///
/// Invariant: a partition has an owner, or is being recovered from one dead node's log, or was
/// never used. While a replay is unfinished the partition's data is still in the dead node's log,
/// whatever the replaying node has written to its own; so when that node dies, the same log is read
/// again.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "control_state/server_registry.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// The last committed head of a log, and the one before: until the owner has closed the earlier
/// segment everywhere, only its committed epoch tells a stale copy of it.
struct LogHeads {
  proto::LogHead current;
  std::optional<proto::LogHead> previous;
};

class PartitionTable {
 public:
  /// Creates `count` partitions without owner. Does nothing when there are some already.
  void Initialize(std::uint32_t count);

  /// A queue node died: its partitions are recovered from its log if it ever committed a head (else
  /// it had acknowledged nothing), and replays given to it are taken back.
  void OnQueueNodeDead(NodeId node);

  /// Accepts a head newer than the committed one (by segment, then epoch) or a repeat of it, in
  /// which a backup that restarted since may have its new node id.
  /// @return kStaleEpoch for any other.
  Status CommitHead(const proto::LogHead& head, const ServerRegistry& servers);

  /// Gives partitions without owner and without log to be recovered to `node`.
  /// @return kConflict, and nothing is changed, if any of them is not free.
  Status Assign(NodeId node, const std::vector<PartitionId>& partitions);

  /// Gives partitions of a dead node, not yet given to anyone, to replaying queue nodes.
  Status StartReplay(NodeId dead, const std::vector<proto::RecoveryAssignment>& assignments);

  /// Makes `node` the owner of partitions it has replayed. A repeat is OK.
  /// @return kConflict when the replay was not (or no longer) given to `node`.
  Status FinishAssignment(NodeId dead, NodeId node, const std::vector<PartitionId>& partitions);

  /// Forgets the recovery and the dead log. A repeat is OK.
  /// @return kConflict while partitions are still being recovered from it.
  Status FinishRecovery(NodeId dead);

  std::uint32_t partition_count() const { return static_cast<std::uint32_t>(partitions_.size()); }
  const std::map<PartitionId, proto::Partition>& partitions() const { return partitions_; }
  const std::map<NodeId, LogHeads>& heads() const { return heads_; }
  /// By dead node id.
  const std::map<NodeId, proto::Recovery>& recoveries() const { return recoveries_; }

  /// @return partitions owned by `node`.
  std::vector<PartitionId> FindOwnedBy(NodeId node) const;
  /// @return partitions in the log of `dead` that no unfinished assignment covers.
  std::vector<PartitionId> FindUnassigned(NodeId dead) const;
  /// @return partitions without owner and without a log to be recovered from.
  std::vector<PartitionId> FindFree() const;
  /// @return partitions `node` owns or is replaying.
  std::size_t CountAssigned(NodeId node) const;
  /// @return servers that heads and recoveries name.
  std::set<NodeId> FindReferencedServers() const;

  /// @return the partitions changed since the last call, and forgets them.
  std::set<PartitionId> TakeChanged() { return std::exchange(changed_, {}); }

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  void SetOwner(PartitionId partition, NodeId owner, NodeId recovering_from);
  /// Removes the unfinished assignments of `node` from all recoveries.
  void RevokeReplays(NodeId node);
  /// @return kConflict if any partition of the assignments is not `FindUnassigned(dead)`, or is
  /// named twice.
  Status CheckOpenForReplay(NodeId dead,
                            const std::vector<proto::RecoveryAssignment>& assignments) const;
  /// @return OK if `node` owns the partition already or is assigned its replay.
  Status CheckReplayedBy(NodeId dead, NodeId node, PartitionId partition) const;
  bool IsAssigned(const proto::Recovery& recovery, PartitionId partition, NodeId node) const;
  void MarkDoneAssignments(NodeId dead, proto::Recovery* recovery) const;
  bool HasPartitionsRecoveringFrom(NodeId dead) const;

  std::map<PartitionId, proto::Partition> partitions_;
  std::map<NodeId, LogHeads> heads_;
  std::map<NodeId, proto::Recovery> recoveries_;
  std::set<PartitionId> changed_;
};

}  // namespace cloverbank

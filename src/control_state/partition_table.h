#pragma once
/// @file
/// The replicated owners of the batch partitions, the heads of the queue nodes' logs and the
/// recoveries of dead queue nodes. Part of `ControlState`; deterministic. See docs/DESIGN.md
/// section 5 and the RAMCloud page, "Recovery".
///
/// Invariant: a partition has an owner, or is being recovered from one dead node's log, or is free,
/// which means that it has never held acknowledged data. Until a replay is finished, the dead
/// node's log is the source of the partition's data, whatever the replaying node has written; if
/// the replaying node dies, the same log is read again.

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

/// The committed head of a log and, once there was one, the last head in an earlier segment. Until
/// the owner has closed that earlier segment on all its backups, only the segment's committed epoch
/// tells a stale replica of it from a current one.
struct LogHeads {
  proto::LogHead current;
  std::optional<proto::LogHead> previous;
};

class PartitionTable {
 public:
  /// Creates `count` free partitions, unless there are partitions already.
  void Initialize(std::uint32_t count);

  /// Call it when a queue node is declared dead. If the node has committed a head, starts to
  /// recover its partitions from its log; otherwise it has acknowledged nothing and its partitions
  /// become free. Revokes the replays assigned to the node.
  void OnQueueNodeDead(NodeId node);

  /// Commits a head newer than the committed one (by segment, then epoch). Committing the same head
  /// again is OK; a backup that has restarted meanwhile may then have its new node id.
  /// @return kStaleEpoch for any other head; kInvalidArgument for a head without a segment or
  /// without backups.
  Status CommitHead(const proto::LogHead& head, const ServerRegistry& servers);

  /// Makes `node` the owner of free partitions.
  /// @return kConflict if one of them is not free, kNotFound if one does not exist; nothing is
  /// changed then.
  Status Assign(NodeId node, const std::vector<PartitionId>& partitions);

  /// Assigns the replay of partitions in `FindUnassigned(dead)` to queue nodes.
  /// @return kConflict if one of them is not unassigned, kNotFound if `dead` is not being
  /// recovered; nothing is changed then.
  Status StartReplay(NodeId dead, const std::vector<proto::RecoveryAssignment>& assignments);

  /// Makes `node` the owner of partitions that it has replayed from the log of `dead`. Repeating
  /// the call is OK.
  /// @return kConflict if the replay is not, or no longer, assigned to `node`; kNotFound if a
  /// partition does not exist.
  Status FinishAssignment(NodeId dead, NodeId node, const std::vector<PartitionId>& partitions);

  /// Drops the recovery of `dead` and the heads of its log. Repeating the call is OK.
  /// @return kConflict while partitions are still being recovered from that log.
  Status FinishRecovery(NodeId dead);

  std::uint32_t partition_count() const { return static_cast<std::uint32_t>(partitions_.size()); }
  const std::map<PartitionId, proto::Partition>& partitions() const { return partitions_; }
  const std::map<NodeId, LogHeads>& heads() const { return heads_; }
  /// @return the recoveries by dead node id.
  const std::map<NodeId, proto::Recovery>& recoveries() const { return recoveries_; }

  /// @return partitions owned by `node`.
  std::vector<PartitionId> FindOwnedBy(NodeId node) const;
  /// @return partitions being recovered from `dead` whose replay is not assigned to a node.
  std::vector<PartitionId> FindUnassigned(NodeId dead) const;
  /// @return partitions without owner that are not being recovered.
  std::vector<PartitionId> FindFreePartitions() const;
  /// @return the number of partitions that `node` owns or is assigned to replay.
  std::size_t CountAssigned(NodeId node) const;
  /// @return the servers that log heads refer to: owners and backups.
  std::set<NodeId> FindReferencedServers() const;

  /// @return the partitions changed since the last call.
  std::set<PartitionId> TakeChanged() { return std::exchange(changed_, {}); }

  /// Adds partitions, heads and recoveries to `snapshot`.
  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  void SetOwner(PartitionId partition, NodeId owner, NodeId recovering_from);
  /// Removes the unfinished assignments of `node` from all recoveries.
  void RevokeReplays(NodeId node);
  /// @return kConflict if a partition of the assignments is not in `FindUnassigned(dead)` or occurs
  /// twice.
  Status CheckOpenForReplay(NodeId dead,
                            const std::vector<proto::RecoveryAssignment>& assignments) const;
  /// @return OK if `node` already owns the partition or is assigned its replay from `dead`;
  /// kConflict if not; kNotFound if the partition does not exist.
  Status CheckReplayedBy(NodeId dead, NodeId node, PartitionId partition) const;
  /// @return whether `node` has an unfinished assignment of the partition.
  bool IsAssigned(const proto::Recovery& recovery, PartitionId partition, NodeId node) const;
  /// Sets `done` in assignments of which no partition is being recovered from `dead` any more, and
  /// the phase to releasing once no partition is.
  void MarkDoneAssignments(NodeId dead, proto::Recovery* recovery) const;
  bool HasPartitionsRecoveringFrom(NodeId dead) const;

  std::map<PartitionId, proto::Partition> partitions_;
  std::map<NodeId, LogHeads> heads_;
  std::map<NodeId, proto::Recovery> recoveries_;
  std::set<PartitionId> changed_;
};

}  // namespace cloverbank

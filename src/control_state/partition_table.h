#pragma once
/// @file
/// The replicated owners of batch partitions, heads of the queue nodes' logs, and phases of the
/// recoveries of dead queue nodes. Part of `ControlState`; deterministic. See docs/DESIGN.md
/// section 5 and the RAMCloud page, "Recovery".
///
/// Invariant: a partition has an owner, or is being recovered from one dead node's log, or was
/// never used. Until a replay is finished, the dead node's log is the source of the partition's
/// data, whatever the replaying node has written; if that node dies, the same log is read again.

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

/// The committed head of a log and the one before it. Until the owner has closed the earlier
/// segment on all its backups, only its committed epoch distinguishes a stale replica.
struct LogHeads {
  proto::LogHead current;
  std::optional<proto::LogHead> previous;
};

class PartitionTable {
 public:
  /// Creates `count` partitions without owner, unless partitions exist.
  void Initialize(std::uint32_t count);

  /// A queue node died. If it had committed a head, its partitions are recovered from its log; else
  /// it had acknowledged nothing and they become free. Replays assigned to it are revoked.
  void OnQueueNodeDead(NodeId node);

  /// Commits a head newer than the committed one (by segment, then epoch). A repeat is OK; in it a
  /// restarted backup may have its new node id.
  /// @return kStaleEpoch for any other head, kInvalidArgument for one without segment or backups.
  Status CommitHead(const proto::LogHead& head, const ServerRegistry& servers);

  /// Makes `node` the owner of free partitions.
  /// @return kConflict, without any change, if one of them is not free; kNotFound for an unknown
  /// one.
  Status Assign(NodeId node, const std::vector<PartitionId>& partitions);

  /// Assigns the replay of unassigned partitions of `dead` to queue nodes.
  /// @return kConflict, without any change, if one of them is not open for replay; kNotFound if
  /// `dead` is not being recovered.
  Status StartReplay(NodeId dead, const std::vector<proto::RecoveryAssignment>& assignments);

  /// Makes `node` the owner of partitions it has replayed. A repeat is OK.
  /// @return kConflict if the replay is not, or no longer, assigned to `node`.
  Status FinishAssignment(NodeId dead, NodeId node, const std::vector<PartitionId>& partitions);

  /// Drops the recovery and the heads of the dead log. A repeat is OK.
  /// @return kConflict while partitions are still being recovered from it.
  Status FinishRecovery(NodeId dead);

  std::uint32_t partition_count() const { return static_cast<std::uint32_t>(partitions_.size()); }
  const std::map<PartitionId, proto::Partition>& partitions() const { return partitions_; }
  const std::map<NodeId, LogHeads>& heads() const { return heads_; }
  /// By dead node id.
  const std::map<NodeId, proto::Recovery>& recoveries() const { return recoveries_; }

  /// @return partitions owned by `node`.
  std::vector<PartitionId> FindOwnedBy(NodeId node) const;
  /// @return partitions being recovered from `dead` without an unfinished assignment.
  std::vector<PartitionId> FindUnassigned(NodeId dead) const;
  /// @return partitions without owner that are not being recovered.
  std::vector<PartitionId> FindFree() const;
  /// @return number of partitions that `node` owns or is assigned to replay.
  std::size_t CountAssigned(NodeId node) const;
  /// @return servers referred to by log heads: owners and backups.
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

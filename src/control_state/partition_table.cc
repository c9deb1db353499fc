#include "control_state/partition_table.h"

#include <algorithm>
#include <compare>
#include <utility>

namespace cloverbank {
namespace {

bool Includes(const proto::RecoveryAssignment& assignment, PartitionId partition) {
  const auto& ids = assignment.partition_ids();
  return std::find(ids.begin(), ids.end(), partition.value()) != ids.end();
}

/// Orders the heads of one log: by segment, then by the epoch within it.
struct HeadPosition {
  explicit HeadPosition(const proto::LogHead& head)
      : segment(head.segment_id()), epoch(head.epoch()) {}
  // NOLINTNEXTLINE(modernize-use-nullptr): as in base/ids.h.
  auto operator<=>(const HeadPosition&) const = default;

  SegmentId segment;
  HeadEpoch epoch;
};

bool HaveSameBackups(const proto::LogHead& left, const proto::LogHead& right,
                     const ServerRegistry& servers) {
  return std::is_permutation(
      left.backups().begin(), left.backups().end(), right.backups().begin(), right.backups().end(),
      [&servers](std::uint64_t left_backup, std::uint64_t right_backup) {
        return servers.HaveSameDisk(NodeId(left_backup), NodeId(right_backup));
      });
}

Status Conflict(std::string message) { return {StatusCode::kConflict, std::move(message)}; }

}  // namespace

void PartitionTable::Initialize(std::uint32_t count) {
  if (!partitions_.empty()) {
    return;
  }
  for (std::uint32_t id = 0; id < count; ++id) {
    partitions_[PartitionId(id)].set_partition_id(id);
    changed_.insert(PartitionId(id));
  }
}

void PartitionTable::SetOwner(PartitionId partition, NodeId owner, NodeId recovering_from) {
  proto::Partition& entry = partitions_[partition];
  entry.set_owner(owner.value());
  entry.set_recovering_from(recovering_from.value());
  changed_.insert(partition);
}

void PartitionTable::OnQueueNodeDead(NodeId node) {
  RevokeReplays(node);
  const bool has_log = heads_.contains(node);
  const std::vector<PartitionId> owned = FindOwnedBy(node);
  for (const PartitionId id : owned) {
    SetOwner(id, NodeId(), has_log ? node : NodeId());
  }
  if (has_log) {
    proto::Recovery& recovery = recoveries_[node];
    recovery.set_dead_node_id(node.value());
    recovery.set_phase(owned.empty() ? proto::RECOVERY_PHASE_RELEASING
                                     : proto::RECOVERY_PHASE_COLLECTING);
  }
}

void PartitionTable::RevokeReplays(NodeId node) {
  for (auto& [dead, recovery] : recoveries_) {
    auto* assignments = recovery.mutable_assignments();
    const auto revoked =
        std::remove_if(assignments->begin(), assignments->end(),
                       [node](const proto::RecoveryAssignment& assignment) {
                         return NodeId(assignment.queue_node_id()) == node && !assignment.done();
                       });
    assignments->erase(revoked, assignments->end());
  }
}

Status PartitionTable::CommitHead(const proto::LogHead& head, const ServerRegistry& servers) {
  if (head.segment_id() == 0 || head.backups().empty()) {
    return {StatusCode::kInvalidArgument,
            "the log head of node " + std::to_string(head.node_id()) + " has segment id " +
                std::to_string(head.segment_id()) + " and " + std::to_string(head.backups_size()) +
                " backups; it needs a segment id above 0 and at least one backup"};
  }
  const auto entry = heads_.find(NodeId(head.node_id()));
  if (entry == heads_.end()) {
    heads_[NodeId(head.node_id())].current = head;
    return Status::Ok();
  }
  LogHeads& heads = entry->second;
  const HeadPosition position(head);
  const HeadPosition committed(heads.current);
  if (position == committed && HaveSameBackups(head, heads.current, servers)) {
    return Status::Ok();
  }
  if (position <= committed) {
    return {StatusCode::kStaleEpoch, "the log head of node " + std::to_string(head.node_id()) +
                                         " has segment " + std::to_string(head.segment_id()) +
                                         " epoch " + std::to_string(head.epoch()) +
                                         "; it must be newer than the committed segment " +
                                         std::to_string(heads.current.segment_id()) + " epoch " +
                                         std::to_string(heads.current.epoch())};
  }
  if (head.segment_id() != heads.current.segment_id()) {
    heads.previous = std::move(heads.current);
  }
  heads.current = head;
  return Status::Ok();
}

Status PartitionTable::Assign(NodeId node, const std::vector<PartitionId>& partitions) {
  for (const PartitionId id : partitions) {
    const auto entry = partitions_.find(id);
    if (entry == partitions_.end()) {
      return {StatusCode::kNotFound, "there is no partition " + id.ToString()};
    }
    if (entry->second.owner() != 0 || entry->second.recovering_from() != 0) {
      return Conflict("partition " + id.ToString() + " is not free: owner " +
                      std::to_string(entry->second.owner()) + ", being recovered from " +
                      std::to_string(entry->second.recovering_from()) + " (0: none)");
    }
  }
  for (const PartitionId id : partitions) {
    SetOwner(id, node, NodeId());
  }
  return Status::Ok();
}

Status PartitionTable::StartReplay(NodeId dead,
                                   const std::vector<proto::RecoveryAssignment>& assignments) {
  const auto entry = recoveries_.find(dead);
  if (entry == recoveries_.end()) {
    return {StatusCode::kNotFound, "node " + dead.ToString() + " is not being recovered"};
  }
  if (Status open = CheckOpenForReplay(dead, assignments); !open.ok()) {
    return open;
  }
  for (const proto::RecoveryAssignment& assignment : assignments) {
    proto::RecoveryAssignment* added = entry->second.add_assignments();
    *added = assignment;
    added->set_done(false);
  }
  entry->second.set_phase(proto::RECOVERY_PHASE_REPLAYING);
  return Status::Ok();
}

Status PartitionTable::CheckOpenForReplay(
    NodeId dead, const std::vector<proto::RecoveryAssignment>& assignments) const {
  const std::vector<PartitionId> unassigned = FindUnassigned(dead);
  std::set<PartitionId> open(unassigned.begin(), unassigned.end());
  for (const proto::RecoveryAssignment& assignment : assignments) {
    for (const std::uint64_t id : assignment.partition_ids()) {
      if (open.erase(PartitionId(id)) == 0) {
        return Conflict("partition " + std::to_string(id) +
                        " is not waiting for a replay from node " + dead.ToString());
      }
    }
  }
  return Status::Ok();
}

Status PartitionTable::FinishAssignment(NodeId dead, NodeId node,
                                        const std::vector<PartitionId>& partitions) {
  for (const PartitionId id : partitions) {
    if (Status replayed = CheckReplayedBy(dead, node, id); !replayed.ok()) {
      return replayed;
    }
  }
  for (const PartitionId id : partitions) {
    if (NodeId(partitions_.at(id).owner()) != node) {
      SetOwner(id, node, NodeId());
    }
  }
  const auto recovery = recoveries_.find(dead);
  if (recovery != recoveries_.end()) {
    MarkDoneAssignments(dead, &recovery->second);
  }
  return Status::Ok();
}

Status PartitionTable::CheckReplayedBy(NodeId dead, NodeId node, PartitionId partition) const {
  const auto entry = partitions_.find(partition);
  if (entry == partitions_.end()) {
    return {StatusCode::kNotFound, "there is no partition " + partition.ToString()};
  }
  if (NodeId(entry->second.owner()) == node) {
    return Status::Ok();
  }
  const auto recovery = recoveries_.find(dead);
  const bool open = NodeId(entry->second.recovering_from()) == dead &&
                    recovery != recoveries_.end() && IsAssigned(recovery->second, partition, node);
  if (!open) {
    return Conflict("the replay of partition " + partition.ToString() +
                    " is not assigned to node " + node.ToString());
  }
  return Status::Ok();
}

void PartitionTable::MarkDoneAssignments(NodeId dead, proto::Recovery* recovery) const {
  for (proto::RecoveryAssignment& assignment : *recovery->mutable_assignments()) {
    const auto& ids = assignment.partition_ids();
    assignment.set_done(std::none_of(ids.begin(), ids.end(), [this, dead](std::uint64_t id) {
      return NodeId(partitions_.at(PartitionId(id)).recovering_from()) == dead;
    }));
  }
  if (!HasPartitionsRecoveringFrom(dead)) {
    recovery->set_phase(proto::RECOVERY_PHASE_RELEASING);
  }
}

Status PartitionTable::FinishRecovery(NodeId dead) {
  if (HasPartitionsRecoveringFrom(dead)) {
    return Conflict("partitions are still being recovered from node " + dead.ToString());
  }
  if (recoveries_.erase(dead) > 0) {
    heads_.erase(dead);
  }
  return Status::Ok();
}

std::vector<PartitionId> PartitionTable::FindOwnedBy(NodeId node) const {
  std::vector<PartitionId> owned;
  for (const auto& [id, partition] : partitions_) {
    if (NodeId(partition.owner()) == node) {
      owned.push_back(id);
    }
  }
  return owned;
}

std::vector<PartitionId> PartitionTable::FindUnassigned(NodeId dead) const {
  std::vector<PartitionId> unassigned;
  const auto recovery = recoveries_.find(dead);
  if (recovery == recoveries_.end()) {
    return unassigned;
  }
  const auto& assignments = recovery->second.assignments();
  for (const auto& [id, partition] : partitions_) {
    if (NodeId(partition.recovering_from()) != dead) {
      continue;
    }
    const bool assigned =
        std::any_of(assignments.begin(), assignments.end(), [id = id](const auto& assignment) {
          return !assignment.done() && Includes(assignment, id);
        });
    if (!assigned) {
      unassigned.push_back(id);
    }
  }
  return unassigned;
}

std::vector<PartitionId> PartitionTable::FindFreePartitions() const {
  std::vector<PartitionId> free;
  for (const auto& [id, partition] : partitions_) {
    if (partition.owner() == 0 && partition.recovering_from() == 0) {
      free.push_back(id);
    }
  }
  return free;
}

std::size_t PartitionTable::CountAssigned(NodeId node) const {
  std::size_t count = FindOwnedBy(node).size();
  for (const auto& [dead, recovery] : recoveries_) {
    for (const proto::RecoveryAssignment& assignment : recovery.assignments()) {
      if (NodeId(assignment.queue_node_id()) == node && !assignment.done()) {
        count += static_cast<std::size_t>(assignment.partition_ids_size());
      }
    }
  }
  return count;
}

std::set<NodeId> PartitionTable::FindReferencedServers() const {
  std::set<NodeId> referenced;
  const auto add_backups = [&referenced](const proto::LogHead& head) {
    for (const std::uint64_t backup : head.backups()) {
      referenced.insert(NodeId(backup));
    }
  };
  for (const auto& [node, heads] : heads_) {
    referenced.insert(node);
    add_backups(heads.current);
    if (heads.previous.has_value()) {
      add_backups(*heads.previous);
    }
  }
  return referenced;
}

bool PartitionTable::IsAssigned(const proto::Recovery& recovery, PartitionId partition,
                                NodeId node) const {
  return std::any_of(recovery.assignments().begin(), recovery.assignments().end(),
                     [partition, node](const proto::RecoveryAssignment& assignment) {
                       return !assignment.done() && NodeId(assignment.queue_node_id()) == node &&
                              Includes(assignment, partition);
                     });
}

bool PartitionTable::HasPartitionsRecoveringFrom(NodeId dead) const {
  return std::any_of(partitions_.begin(), partitions_.end(), [dead](const auto& entry) {
    return NodeId(entry.second.recovering_from()) == dead;
  });
}

void PartitionTable::Save(proto::ControlStateSnapshot* snapshot) const {
  snapshot->set_partition_count(partition_count());
  for (const auto& [id, partition] : partitions_) {
    *snapshot->add_partitions() = partition;
  }
  for (const auto& [node, heads] : heads_) {
    if (heads.previous.has_value()) {
      *snapshot->add_heads() = *heads.previous;
    }
    *snapshot->add_heads() = heads.current;
  }
  for (const auto& [dead, recovery] : recoveries_) {
    *snapshot->add_recoveries() = recovery;
  }
}

void PartitionTable::Load(const proto::ControlStateSnapshot& snapshot) {
  *this = PartitionTable();
  for (const proto::Partition& partition : snapshot.partitions()) {
    partitions_[PartitionId(partition.partition_id())] = partition;
  }
  for (const proto::LogHead& head : snapshot.heads()) {
    LogHeads& heads = heads_[NodeId(head.node_id())];
    if (heads.current.segment_id() != 0) {
      heads.previous = heads.current;
    }
    heads.current = head;
  }
  for (const proto::Recovery& recovery : snapshot.recoveries()) {
    recoveries_[NodeId(recovery.dead_node_id())] = recovery;
  }
}

}  // namespace cloverbank

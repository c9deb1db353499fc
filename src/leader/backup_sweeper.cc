#include "leader/backup_sweeper.h"

namespace cloverbank {

std::set<NodeId> FindLeftoverOwners(const proto::ListSegmentsResponse& replicas,
                                    const ControlState& state) {
  std::set<NodeId> leftovers;
  for (const proto::SegmentReplicaKey& key : replicas.replicas()) {
    const NodeId owner(key.node_id());
    const bool registered_here = owner < state.servers().next_node_id();
    const bool live = state.servers().FindLive(owner, proto::ROLE_QUEUE) != nullptr;
    const bool needed = state.partitions().heads().contains(owner) ||
                        state.partitions().recoveries().contains(owner);
    if (registered_here && !live && !needed) {
      leftovers.insert(owner);
    }
  }
  return leftovers;
}

std::vector<NodeId> BackupSweeper::StartDueSweeps(const ControlState& state, TimePoint now) {
  std::erase_if(sweeps_, [&state](const auto& entry) {
    return state.servers().FindLive(entry.first, proto::ROLE_BACKUP) == nullptr;
  });
  std::vector<NodeId> due;
  for (const proto::Server* backup : state.servers().FindLiveServers(proto::ROLE_BACKUP)) {
    const NodeId id(backup->node_id());
    Sweep& sweep = sweeps_[id];
    RecordRetirement(backup->state() == proto::SERVER_STATE_RETIRING, now, &sweep);
    if (!sweep.in_flight && now >= sweep.next_start) {
      Start(now, &sweep);
      due.push_back(id);
    }
  }
  return due;
}

void BackupSweeper::RecordRetirement(bool retiring, TimePoint now, Sweep* sweep) {
  if (!retiring) {
    sweep->retiring_since.reset();
    return;
  }
  if (!sweep->retiring_since) {
    sweep->retiring_since = now;
    sweep->counts = false;
    sweep->replicas.reset();
    sweep->next_start = now;
  }
}

void BackupSweeper::Start(TimePoint now, Sweep* sweep) const {
  const bool retiring = sweep->retiring_since.has_value();
  sweep->counts = !retiring || now - *sweep->retiring_since >= settling_time_;
  sweep->in_flight = true;
  sweep->next_start = now + (retiring ? retiring_interval_ : interval_);
}

void BackupSweeper::HandleReplicaList(NodeId backup, const proto::ListSegmentsResponse& replicas) {
  const auto sweep = sweeps_.find(backup);
  if (sweep != sweeps_.end()) {
    sweep->second.in_flight = false;
    sweep->second.replicas.reset();
    if (sweep->second.counts) {
      sweep->second.replicas = static_cast<std::size_t>(replicas.replicas_size());
    }
  }
}

void BackupSweeper::HandleFailure(NodeId backup) {
  const auto sweep = sweeps_.find(backup);
  if (sweep != sweeps_.end()) {
    sweep->second.in_flight = false;
  }
}

std::optional<std::size_t> BackupSweeper::FindReplicaCount(NodeId backup) const {
  const auto sweep = sweeps_.find(backup);
  return sweep == sweeps_.end() ? std::nullopt : sweep->second.replicas;
}

std::optional<std::size_t> BackupSweeper::FindReplicaCountOfRetiring(NodeId backup) const {
  const auto sweep = sweeps_.find(backup);
  const bool seen_retiring = sweep != sweeps_.end() && sweep->second.retiring_since.has_value();
  return seen_retiring ? sweep->second.replicas : std::nullopt;
}

}  // namespace cloverbank

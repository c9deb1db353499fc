#include "leader/backup_sweeper.h"

namespace cloverbank {

std::set<NodeId> FindLeftovers(const proto::ListSegmentsResponse& replicas,
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

std::vector<NodeId> BackupSweeper::Due(const ControlState& state, TimePoint now) {
  std::erase_if(looks_, [&state](const auto& entry) {
    return state.servers().FindLive(entry.first, proto::ROLE_BACKUP) == nullptr;
  });
  std::vector<NodeId> due;
  for (const proto::Server* backup : state.servers().Live(proto::ROLE_BACKUP)) {
    const NodeId id(backup->node_id());
    Look& look = looks_[id];
    if (!look.in_flight && now >= look.next) {
      Start(backup->state() == proto::SERVER_STATE_RETIRING, now, &look);
      due.push_back(id);
    }
  }
  return due;
}

void BackupSweeper::Start(bool retiring, TimePoint now, Look* look) const {
  if (retiring) {
    look->retiring_since = look->retiring_since.value_or(now);
    look->counts = now - *look->retiring_since >= settling_time_;
  } else {
    look->retiring_since.reset();
    look->counts = true;
  }
  look->in_flight = true;
  look->next = now + (retiring ? retiring_interval_ : interval_);
}

void BackupSweeper::OnListed(NodeId backup, const proto::ListSegmentsResponse& replicas) {
  const auto look = looks_.find(backup);
  if (look != looks_.end()) {
    look->second.in_flight = false;
    look->second.replicas.reset();
    if (look->second.counts) {
      look->second.replicas = static_cast<std::size_t>(replicas.replicas_size());
    }
  }
}

void BackupSweeper::OnFailed(NodeId backup) {
  const auto look = looks_.find(backup);
  if (look != looks_.end()) {
    look->second.in_flight = false;
  }
}

std::optional<std::size_t> BackupSweeper::ReplicasOn(NodeId backup) const {
  const auto look = looks_.find(backup);
  return look == looks_.end() ? std::nullopt : look->second.replicas;
}

}  // namespace cloverbank

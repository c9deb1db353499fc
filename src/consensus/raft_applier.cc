#include "consensus/raft_applier.h"

namespace cloverbank {

Status RaftApplier::Restore(const proto::RaftSnapshot& snapshot) {
  if (Status status = state_machine_.RestoreSnapshot(snapshot.state()); !status.ok()) {
    return status;
  }
  context_.applied_index = snapshot.last_included_index();
  snapshot_index_ = context_.applied_index;
  bytes_since_snapshot_ = 0;
  return Status::Ok();
}

std::string RaftApplier::Apply(const proto::RaftEntry& entry) {
  std::string result;
  if (entry.has_command()) {
    result = state_machine_.Apply(entry.index(), entry.command());
    bytes_since_snapshot_ += entry.command().size();
  }
  context_.applied_index = entry.index();
  return result;
}

void RaftApplier::TakeSnapshotIfDue() {
  const std::uint64_t applied = context_.applied_index;
  const bool due = applied - snapshot_index_ >= context_.options.snapshot_threshold_entries ||
                   bytes_since_snapshot_ >= context_.options.snapshot_threshold_bytes;
  if (!due || context_.core->IsWritingSnapshot()) {
    return;
  }
  context_.core->StoreSnapshot(applied, state_machine_.TakeSnapshot());
  snapshot_index_ = applied;
  bytes_since_snapshot_ = 0;
  context_.environment.metrics().Increment("raft_snapshots_total", {{"kind", "taken"}});
}

}  // namespace cloverbank

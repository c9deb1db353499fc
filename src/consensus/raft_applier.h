#pragma once
/// @file
/// Applies committed entries to the state machine, and takes snapshots of it. Threads: the
/// environment's event loop only.

#include <cstdint>
#include <string>

#include "consensus/raft_node_context.h"
#include "consensus/replicated_log.h"

namespace cloverbank {

class RaftApplier {
 public:
  /// `context` and `state_machine` must outlive this object.
  RaftApplier(RaftNodeContext& context, StateMachine& state_machine)
      : context_(context), state_machine_(state_machine) {}

  /// Replaces the complete state. @return kCorrupt if the snapshot cannot be read.
  Status Restore(const proto::RaftSnapshot& snapshot);
  /// Applies the next entry. @return the state machine's result; empty for an entry without a
  /// command.
  std::string Apply(const proto::RaftEntry& entry);
  /// Takes a snapshot and passes it to the core, if the entries or bytes since the last one have
  /// reached their threshold (`RaftNodeOptions`) and none is being written.
  void TakeSnapshotIfDue();

 private:
  RaftNodeContext& context_;
  StateMachine& state_machine_;
  std::uint64_t snapshot_index_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
};

}  // namespace cloverbank

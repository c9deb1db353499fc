#pragma once
/// @file
/// Runs the tasks that only the leader performs, each in a class of its own: `DeathDeclarer`,
/// `PartitionAssigner`, `RecoveryExecutor`, `BackupSweepExecutor`, `CoordinatorNotifier`.
/// Threads: the owner's event loop only.

#include "leader/arrival_gate.h"
#include "leader/backup_sweep_executor.h"
#include "leader/command_proposer.h"
#include "leader/coordinator_notifier.h"
#include "leader/death_declarer.h"
#include "leader/leader_context.h"
#include "leader/partition_assigner.h"
#include "leader/recovery_executor.h"

namespace cloverbank {

class LeaderController {
 public:
  LeaderController(LeaderContext& context, CommandProposer& proposer);

  /// Resets the state that is not replicated, and proposes to create the partitions if this group
  /// has none yet. Call it when this member becomes leader.
  void BeginTerm();
  /// Runs one step of each task. Requires `context.CanAnswerRequests()`.
  void Step();
  /// Proposes to create the partitions if this group has none yet.
  void InitializePartitions() { partition_assigner_.InitializePartitions(); }

  const RecoveryManager& recovery_manager() const { return recovery_executor_.manager(); }
  const BackupSweeper& sweeper() const { return sweep_executor_.sweeper(); }

 private:
  /// @return whether partitions may be assigned now.
  bool UpdateArrivalGate();

  LeaderContext& context_;
  DeathDeclarer death_declarer_;
  ArrivalGate arrival_gate_;
  PartitionAssigner partition_assigner_;
  RecoveryExecutor recovery_executor_;
  BackupSweepExecutor sweep_executor_;
  CoordinatorNotifier coordinator_notifier_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// What the leader does unasked: declares silent nodes dead, gives out partitions, steers
/// recoveries and sweeps backups. Ties the pure cores to the log and the peers.

#include <vector>

#include "leader/arrival_gate.h"
#include "leader/backup_sweeper.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/recovery_manager.h"
#include "leader/unreachable_nodes.h"

namespace cloverbank {

class LeaderController {
 public:
  LeaderController(LeaderContext& context, CommandProposer& proposer);

  /// This member became leader.
  void Begin();
  /// Does what is due now. Requires `context.CanAnswer()`.
  void Step();
  /// Proposes to create the partitions if this group has none yet.
  void InitializePartitions();

  const RecoveryManager& recoveries() const { return recoveries_; }
  const BackupSweeper& sweeper() const { return sweeper_; }

 private:
  void DeclareUnresponsiveDead();
  /// @return why `server` is dead now, or an empty text.
  std::string FindDeathReason(const proto::Server& server) const;
  void ProposeDeath(const proto::Server& server, const std::string& reason);
  void AssignPartitions(bool may_assign);
  void AdvanceRecoveries(bool may_assign);
  void Execute(const StartReadingAction& action);
  void Execute(const ProposeReplayAction& action);
  void Execute(const RecoverPartitionsAction& action);
  void Execute(const ReleaseAction& action);
  void Execute(const ProposeFinishAction& action);
  void SweepBackups();
  void NotifyUnreachableNodes();
  void HandleReplicaList(NodeId backup, const Endpoint& endpoint,
                         const proto::ListSegmentsResponse& replicas);

  LeaderContext& context_;
  CommandProposer& proposer_;
  RecoveryManager recoveries_;
  BackupSweeper sweeper_;
  ArrivalGate arrivals_;
  UnreachableNodes unreachable_nodes_;
};

}  // namespace cloverbank

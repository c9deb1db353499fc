#pragma once
/// @file
/// What the leader does unasked: declares silent nodes dead, gives out partitions, steers
/// recoveries and sweeps backups. Ties the pure cores to the log and the peers.

#include <vector>

#include "coordinator/absent_nodes.h"
#include "coordinator/backup_sweeper.h"
#include "coordinator/command_proposer.h"
#include "coordinator/leader_context.h"
#include "coordinator/partition_assigner.h"
#include "coordinator/recovery_manager.h"

namespace cloverbank {

class LeaderDuties {
 public:
  LeaderDuties(LeaderContext& context, CommandProposer& proposer);

  /// This member became leader.
  void Begin();
  /// Does what is due now. Requires `context.MayAnswer()`.
  void Step();
  /// Proposes to create the partitions if this group has none yet.
  void InitializePartitions();

  const RecoveryManager& recoveries() const { return recoveries_; }
  const BackupSweeper& sweeper() const { return sweeper_; }

 private:
  void BuryTheSilent();
  /// @return why `server` is dead now, or an empty text.
  std::string CauseOfDeath(const proto::Server& server) const;
  void ProposeDeath(const proto::Server& server, const std::string& reason);
  void GiveOutPartitions(bool may_assign);
  void SteerRecoveries(bool may_assign);
  void Carry(const StartReadingAction& action);
  void Carry(const ProposeReplayAction& action);
  void Carry(const RecoverPartitionsAction& action);
  void Carry(const ReleaseAction& action);
  void Carry(const ProposeFinishAction& action);
  void SweepBackups();
  void TellAbsentNodes();
  void TakeReplicaList(NodeId backup, const Endpoint& endpoint,
                       const proto::ListSegmentsResponse& replicas);

  LeaderContext& context_;
  CommandProposer& proposer_;
  RecoveryManager recoveries_;
  BackupSweeper sweeper_;
  ArrivalGate arrivals_;
  AbsentNodes absent_nodes_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Executes the actions that `RecoveryManager` returns: calls backups and queue nodes and proposes
/// commands.
/// Threads: the owner's event loop only.

#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

class RecoveryExecutor {
 public:
  RecoveryExecutor(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer), manager_(context.options.recovery) {}

  /// Drops all progress. Call it when this member becomes leader.
  void Reset() { manager_.Reset(); }
  /// Executes the actions that are due. The responses to its calls are handled later on the event
  /// loop. Requires `context.CanAnswerRequests()`.
  /// @param may_assign whether partitions may be assigned now, see `ArrivalGate`.
  void Step(bool may_assign);

  const RecoveryManager& manager() const { return manager_; }

 private:
  void Execute(const StartReadingAction& action);
  void Execute(const ProposeReplayAction& action);
  void Execute(const RecoverPartitionsAction& action);
  void Execute(const ReleaseAction& action);
  void Execute(const ProposeFinishAction& action);
  /// If the queue node has replayed the partitions of `request`, proposes that it owns them.
  void HandleReplayAnswer(const proto::RecoverPartitionsRequest& request,
                          const Result<proto::RecoverPartitionsResponse>& answer);

  LeaderContext& context_;
  CommandProposer& proposer_;
  RecoveryManager manager_;
};

}  // namespace cloverbank

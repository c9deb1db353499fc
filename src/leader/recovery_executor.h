#pragma once
/// @file
/// Executes what `RecoveryManager` decides: calls backups and queue nodes and proposes commands.
/// Threads: the owner's event loop only.

#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

class RecoveryExecutor {
 public:
  RecoveryExecutor(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer), manager_(context.options.recovery) {}

  /// This member became leader.
  void Reset() { manager_.Reset(); }
  /// Executes the actions that are due. `may_assign`: whether partitions may be assigned now.
  /// Requires `context.CanAnswer()`.
  void Step(bool may_assign);

  const RecoveryManager& manager() const { return manager_; }

 private:
  void Execute(const StartReadingAction& action);
  void Execute(const ProposeReplayAction& action);
  void Execute(const RecoverPartitionsAction& action);
  void Execute(const ReleaseAction& action);
  void Execute(const ProposeFinishAction& action);
  void HandleReplayAnswer(const proto::RecoverPartitionsRequest& request,
                          const Result<proto::RecoverPartitionsResponse>& answer);

  LeaderContext& context_;
  CommandProposer& proposer_;
  RecoveryManager manager_;
};

}  // namespace cloverbank

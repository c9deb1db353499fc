#pragma once
/// @file
/// Proposes the partitions of a new group and assigns those without an owner to queue nodes.
/// It does not assign partitions that are recovered from a log: `RecoveryManager` places those.
/// Threads: the owner's event loop only.

#include "leader/command_proposer.h"
#include "leader/leader_context.h"

namespace cloverbank {

class PartitionAssigner {
 public:
  PartitionAssigner(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer) {}

  /// Proposes to create the partitions if this group has none yet.
  void InitializePartitions();
  /// Proposes an owner for each partition that has none, if a queue node is live. Requires
  /// `context.CanAnswerRequests()`.
  void AssignFreePartitions();

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
};

}  // namespace cloverbank

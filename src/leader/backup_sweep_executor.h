#pragma once
/// @file
/// Executes the sweeps that `BackupSweeper` schedules: lists the segments of backups and releases
/// leftovers. Threads: the owner's event loop only.

#include "leader/backup_sweeper.h"
#include "leader/leader_context.h"

namespace cloverbank {

class BackupSweepExecutor {
 public:
  explicit BackupSweepExecutor(LeaderContext& context)
      : context_(context),
        sweeper_(context.options.sweep_interval, context.options.retiring_sweep_interval,
                 context.options.node_lease) {}

  /// This member became leader.
  void Reset() { sweeper_.Reset(); }
  /// Requests the lists that are due.
  void Step();

  const BackupSweeper& sweeper() const { return sweeper_; }

 private:
  void RequestReplicaList(NodeId backup);
  void HandleReplicaList(NodeId backup, const Endpoint& endpoint,
                         const Result<proto::ListSegmentsResponse>& replicas);
  void ReleaseLeftovers(NodeId owner, NodeId backup, const Endpoint& endpoint);

  LeaderContext& context_;
  BackupSweeper sweeper_;
};

}  // namespace cloverbank

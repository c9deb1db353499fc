#pragma once
/// @file
/// Executes the sweeps that `BackupSweeper` schedules: lists the segment replicas on backups and
/// releases those that are no longer needed (leftovers). Threads: the owner's event loop only.

#include "leader/backup_sweeper.h"
#include "leader/leader_context.h"

namespace cloverbank {

class BackupSweepExecutor {
 public:
  explicit BackupSweepExecutor(LeaderContext& context)
      : context_(context),
        sweeper_(context.options.sweep_interval, context.options.retiring_sweep_interval,
                 context.options.node_lease) {}

  /// Forgets all sweeps. Call it when this member becomes leader.
  void Reset() { sweeper_.Reset(); }
  /// Calls backup.ListSegments at each backup whose sweep is due. The responses are handled later
  /// on the event loop. Call it at each step of the leader.
  void Step();

  const BackupSweeper& sweeper() const { return sweeper_; }

 private:
  /// Calls backup.ListSegments. A failed call is repeated by the next sweep.
  void RequestReplicaList(NodeId backup);
  void HandleReplicaList(NodeId backup, const Endpoint& endpoint,
                         const Result<proto::ListSegmentsResponse>& replicas);
  /// Asks the backup at `endpoint` to release all segments of `owner`.
  void ReleaseLeftovers(NodeId owner, NodeId backup, const Endpoint& endpoint);

  LeaderContext& context_;
  BackupSweeper sweeper_;
};

}  // namespace cloverbank

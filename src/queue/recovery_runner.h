#pragma once
/// @file
/// The partition recoveries of one incarnation of a queue node. A partition is recovered from one
/// dead node's log at a time; all recoveries share a limit of parallel segment reads.
///
/// Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "batches/batch_store.h"
#include "control_client/node_agent.h"
#include "log_writer/segment_log.h"
#include "proto/log.pb.h"
#include "queue/partition_recovery.h"
#include "runtime/environment.h"

namespace cloverbank {

class RecoveryRunner {
 public:
  /// @param on_fenced runs when the coordinators reject this node id as dead.
  RecoveryRunner(Environment& environment, NodeAgent& agent, SegmentLog& log,
                 std::function<void(const std::string& reason)> on_fenced);

  /// Starts recovery of those of `partitions` that are not being recovered from the request's log,
  /// and gives running recoveries of that log its newer list of backups.
  /// @param partitions of `request` that this node does not own yet.
  void Recover(const proto::RecoverPartitionsRequest& request,
               const std::vector<PartitionId>& partitions);
  /// Abandons recoveries of the partition from any log but that of `kept_dead_node`: it has another
  /// owner, or is recovered from another log now.
  void Drop(PartitionId partition, NodeId kept_dead_node);
  /// @return the batches of a recovered partition; nullptr if it was not recovered here.
  std::unique_ptr<BatchStore> TakeStore(PartitionId partition);
  /// @return watermarks of the recovered partitions that have not been taken.
  std::vector<proto::LogEntry> Watermarks() const;

 private:
  bool IsRecovering(PartitionId partition) const;
  void EraseFinished();

  Environment& environment_;
  NodeAgent& agent_;
  SegmentLog& log_;
  std::function<void(const std::string&)> on_fenced_;
  std::shared_ptr<ReadLimit> read_limit_;
  std::vector<std::shared_ptr<PartitionRecovery>> recoveries_;
};

}  // namespace cloverbank

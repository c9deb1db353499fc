#pragma once
/// @file
/// Runs the partition recoveries of one incarnation of a queue node. A partition is recovered from
/// the log of one dead node at a time; all recoveries share one limit of parallel segment reads.
///
/// Threads: the owner's event loop only; callbacks run there too.

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
  /// @param on_fenced runs with a reason for logs when the coordinators reject this node id as
  /// dead.
  RecoveryRunner(Environment& environment, NodeAgent& agent, SegmentLog& log,
                 std::function<void(const std::string& reason)> on_fenced);

  /// Starts recovery of those `partitions` that are not being recovered from the log of the
  /// request's dead node yet, and passes the request to running recoveries of that log, whose lists
  /// of backups may be older. Abandons recoveries of `partitions` from other logs.
  /// @param partitions the partitions of `request` that this node does not own yet.
  void Recover(const proto::RecoverPartitionsRequest& request,
               const std::vector<PartitionId>& partitions);
  /// Abandons recoveries of a partition that has another owner or is recovered from another log
  /// now. Keeps a recovery from the log of `kept_dead_node`.
  void Drop(PartitionId partition, NodeId kept_dead_node);
  /// Hands over the batches of a recovered partition.
  /// @return nullptr if this node has not recovered the partition.
  std::unique_ptr<BatchStore> TakeStore(PartitionId partition);
  /// @return watermarks of the recovered partitions that were not handed over by `TakeStore` yet.
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

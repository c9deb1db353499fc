#pragma once
/// @file
/// The partitions that one incarnation of a queue node owns, and the checks whether it may answer
/// for them now. Ownership follows the fleet view: a partition becomes owned once the coordinators
/// have committed this node as its owner. It starts with the batches that were recovered for it.
///
/// Threads: the owner's event loop only; observers and replies run there too.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "batches/owned_partition.h"
#include "control_client/node_agent.h"
#include "log_writer/segment_log.h"
#include "proto/log.pb.h"
#include "queue/recovery_runner.h"

namespace cloverbank {

class PartitionOwnership {
 public:
  using PartitionMap = std::map<PartitionId, std::shared_ptr<OwnedPartition>>;
  struct Observers {
    /// Runs after a partition has become owned.
    std::function<void(const std::shared_ptr<OwnedPartition>&)> on_activated;
    /// Runs when this node has lost a partition, while `partitions()` still contains it.
    std::function<void(PartitionId)> on_deactivated;
  };

  PartitionOwnership(NodeAgent& agent, SegmentLog& log, RecoveryRunner& recoveries,
                     Observers observers);

  /// Activates the partitions that the agent's fleet view newly assigns to this node, deactivates
  /// those it no longer assigns, and drops recoveries of partitions that have another owner.
  void ApplyFleetView();
  /// Deactivates all partitions when the incarnation ends, without notifying the observers.
  /// Nothing is answered from them any more; pending `OwnedPartition::AppendEntries` calls fail
  /// with kUnknownOutcome.
  void DeactivateAll();
  /// Starts recovery of the requested partitions that this node does not own yet, and replies at
  /// once. Fails with kConflict if the request is for another node id.
  void Recover(const proto::RecoverPartitionsRequest& request,
               const std::function<void(Result<proto::RecoverPartitionsResponse>)>& reply);

  /// @return OK, or kUnavailable if this node has no valid lease and so may not answer.
  Status RequireLease() const;
  /// @return the partition if this node may answer for it now; kUnavailable if the node has no
  /// valid lease, kConflict (`MakeNotOwnerStatus`) if it does not own the partition.
  Result<std::shared_ptr<OwnedPartition>> Require(std::uint64_t partition_id) const;
  /// @return the partition, or nullptr if it is not owned. Does not check the lease.
  std::shared_ptr<OwnedPartition> Find(PartitionId partition) const;
  const PartitionMap& partitions() const { return partitions_; }
  /// @return watermarks for the start of a new log segment: of the owned partitions, and of those
  /// that are recovered but not owned yet.
  std::vector<proto::LogEntry> Watermarks() const;

 private:
  void Activate(PartitionId id);
  void Deactivate(PartitionId id);

  NodeAgent& agent_;
  SegmentLog& log_;
  RecoveryRunner& recoveries_;
  Observers observers_;
  PartitionMap partitions_;
};

}  // namespace cloverbank

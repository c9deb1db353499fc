#pragma once
/// @file
/// The partitions that one incarnation of a queue node owns, and its right to answer for them.
/// Follows the fleet view: a partition becomes owned once the coordinators have committed this node
/// as its owner, with the batches that were recovered for it.
///
/// Threads: the owner's event loop only.

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
  /// Run when a partition becomes owned, and when it is lost (it is still listed then).
  struct Observers {
    std::function<void(const std::shared_ptr<OwnedPartition>&)> on_activated;
    std::function<void(PartitionId)> on_deactivated;
  };

  PartitionOwnership(NodeAgent& agent, SegmentLog& log, RecoveryRunner& recoveries,
                     Observers observers);

  /// Activates and deactivates partitions as the fleet view names their owners.
  void ApplyFleetView();
  /// Deactivates all partitions without notifying the observers: nothing is answered from them any
  /// more.
  void DeactivateAll();
  /// Answers a coordinator's request to recover partitions: starts recovery of those not owned yet.
  /// kConflict if the request is for another node id.
  void Recover(const proto::RecoverPartitionsRequest& request,
               const std::function<void(Result<proto::RecoverPartitionsResponse>)>& reply);

  /// @return kUnavailable if this node may answer nothing now because its lease has run out.
  Status RequireLease() const;
  /// @return the partition if this node may answer for it now; kUnavailable without the lease,
  /// kConflict (`MakeNotOwnerStatus`) for one that it does not own.
  Result<std::shared_ptr<OwnedPartition>> Require(std::uint64_t partition_id) const;
  /// @return the partition, or nullptr if it is not owned. Does not check the lease.
  std::shared_ptr<OwnedPartition> Find(PartitionId partition) const;
  const PartitionMap& partitions() const { return partitions_; }
  /// @return watermarks of owned and of recovered partitions, for the start of a segment.
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

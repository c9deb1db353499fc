#include "queue/partition_ownership.h"

#include <set>
#include <utility>

#include "base/logging.h"

namespace cloverbank {

PartitionOwnership::PartitionOwnership(NodeAgent& agent, SegmentLog& log,
                                       RecoveryRunner& recoveries, Observers observers)
    : agent_(agent), log_(log), recoveries_(recoveries), observers_(std::move(observers)) {}

void PartitionOwnership::ApplyFleetView() {
  std::set<PartitionId> assigned;
  for (const auto& [id, partition] : agent_.fleet().partitions) {
    if (NodeId(partition.owner()) == agent_.node_id() && agent_.node_id().valid()) {
      assigned.insert(id);
    } else if (partition.owner() != 0) {
      // Keeps a recovery from this owner's own log: a fleet view from before the owner's death
      // still names it.
      recoveries_.Drop(id, NodeId(partition.owner()));
    }
  }
  std::vector<PartitionId> lost;
  for (const auto& [id, partition] : partitions_) {
    if (!assigned.contains(id)) {
      lost.push_back(id);
    }
  }
  for (const PartitionId id : lost) {
    Deactivate(id);
  }
  for (const PartitionId id : assigned) {
    if (!partitions_.contains(id)) {
      Activate(id);
    }
  }
}

void PartitionOwnership::Activate(PartitionId id) {
  // A partition without a recovery was never used: no log has entries of it.
  std::unique_ptr<BatchStore> store = recoveries_.TakeStore(id);
  const bool recovered = store != nullptr;
  if (!recovered) {
    store = std::make_unique<BatchStore>();
  }
  auto partition = std::make_shared<OwnedPartition>(id, std::move(store), log_);
  Log(LogLevel::kInfo, "partition_activated",
      {{"partition", id.value()},
       {"recovered", recovered},
       {"open_items", partition->store().open_items()}});
  partitions_[id] = partition;
  observers_.on_activated(partition);
}

void PartitionOwnership::Deactivate(PartitionId id) {
  Log(LogLevel::kInfo, "partition_deactivated", {{"partition", id.value()}});
  partitions_.at(id)->Deactivate();
  observers_.on_deactivated(id);
  partitions_.erase(id);
}

void PartitionOwnership::DeactivateAll() {
  for (const auto& [id, partition] : partitions_) {
    partition->Deactivate();
  }
}

void PartitionOwnership::Recover(
    const proto::RecoverPartitionsRequest& request,
    const std::function<void(Result<proto::RecoverPartitionsResponse>)>& reply) {
  if (NodeId(request.queue_node_id()) != agent_.node_id()) {
    reply(Status(StatusCode::kConflict, "the request is for queue node " +
                                            std::to_string(request.queue_node_id()) +
                                            "; this node is " + agent_.node_id().ToString()));
    return;
  }
  std::vector<PartitionId> not_owned;
  for (const std::uint64_t id : request.partition_ids()) {
    if (!partitions_.contains(PartitionId(id))) {
      not_owned.emplace_back(id);
    }
  }
  recoveries_.Recover(request, not_owned);
  proto::RecoverPartitionsResponse response;
  response.set_done(not_owned.empty());
  reply(std::move(response));
}

Status PartitionOwnership::RequireLease() const {
  return agent_.HasValidLease()
             ? Status::Ok()
             : Status(StatusCode::kUnavailable, "this queue node has no valid lease");
}

Result<std::shared_ptr<OwnedPartition>> PartitionOwnership::Require(
    std::uint64_t partition_id) const {
  if (Status status = RequireLease(); !status.ok()) {
    return status;
  }
  auto partition = Find(PartitionId(partition_id));
  if (partition == nullptr) {
    return MakeNotOwnerStatus(PartitionId(partition_id));
  }
  return partition;
}

std::shared_ptr<OwnedPartition> PartitionOwnership::Find(PartitionId partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? nullptr : found->second;
}

std::vector<proto::LogEntry> PartitionOwnership::Watermarks() const {
  std::vector<proto::LogEntry> watermarks;
  for (const auto& [id, partition] : partitions_) {
    watermarks.push_back(partition->MakeWatermark());
  }
  for (proto::LogEntry& watermark : recoveries_.Watermarks()) {
    watermarks.push_back(std::move(watermark));
  }
  return watermarks;
}

}  // namespace cloverbank

#include "queue/recovery_runner.h"

#include <algorithm>
#include <utility>

namespace cloverbank {
namespace {

constexpr std::size_t kMaxParallelSegmentReads = 4;

}  // namespace

RecoveryRunner::RecoveryRunner(Environment& environment, NodeAgent& agent, SegmentLog& log,
                               std::function<void(const std::string&)> on_fenced)
    : environment_(environment),
      agent_(agent),
      log_(log),
      on_fenced_(std::move(on_fenced)),
      read_limit_(std::make_shared<ReadLimit>(kMaxParallelSegmentReads)) {}

void RecoveryRunner::Recover(const proto::RecoverPartitionsRequest& request,
                             const std::vector<PartitionId>& partitions) {
  const NodeId dead_node(request.dead_node_id());
  std::vector<PartitionId> to_start;
  for (const PartitionId partition : partitions) {
    Drop(partition, dead_node);
    if (!IsRecovering(partition)) {
      to_start.push_back(partition);
    }
  }
  for (const auto& recovery : recoveries_) {
    if (recovery->dead_node() == dead_node) {
      recovery->HandleRepeatedRequest(request);
    }
  }
  if (!to_start.empty()) {
    recoveries_.push_back(std::make_shared<PartitionRecovery>(
        environment_, agent_, log_, read_limit_, request, to_start, on_fenced_));
    recoveries_.back()->Start();
  }
}

void RecoveryRunner::Drop(PartitionId partition, NodeId kept_dead_node) {
  for (const auto& recovery : recoveries_) {
    if (recovery->dead_node() != kept_dead_node) {
      recovery->Drop(partition);
    }
  }
  EraseFinished();
}

std::unique_ptr<BatchStore> RecoveryRunner::TakeStore(PartitionId partition) {
  std::unique_ptr<BatchStore> store;
  for (const auto& recovery : recoveries_) {
    store = store == nullptr ? recovery->TakeStore(partition) : std::move(store);
  }
  EraseFinished();
  return store;
}

std::vector<proto::LogEntry> RecoveryRunner::Watermarks() const {
  std::vector<proto::LogEntry> watermarks;
  for (const auto& recovery : recoveries_) {
    for (proto::LogEntry& watermark : recovery->Watermarks()) {
      watermarks.push_back(std::move(watermark));
    }
  }
  return watermarks;
}

bool RecoveryRunner::IsRecovering(PartitionId partition) const {
  return std::any_of(recoveries_.begin(), recoveries_.end(),
                     [partition](const auto& recovery) { return recovery->Includes(partition); });
}

void RecoveryRunner::EraseFinished() {
  std::erase_if(recoveries_, [](const auto& recovery) { return recovery->IsFinished(); });
}

}  // namespace cloverbank

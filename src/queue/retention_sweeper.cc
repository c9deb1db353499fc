#include "queue/retention_sweeper.h"

#include <string>
#include <utility>
#include <vector>

namespace cloverbank {
namespace {

/// Limit of the batches removed from one partition in one sweep.
constexpr std::size_t kMaxRemovedPerSweep = 500;

}  // namespace

RetentionSweeper::RetentionSweeper(Environment& environment, NodeAgent& agent,
                                   const SegmentLog& log, const PartitionOwnership& ownership,
                                   RetentionOptions options)
    : environment_(environment),
      agent_(agent),
      log_(log),
      ownership_(ownership),
      options_(options) {}

void RetentionSweeper::SweepIfDue() {
  if (environment_.Now() - last_sweep_at_ < options_.sweep_interval || !log_.Accepting().ok()) {
    return;
  }
  last_sweep_at_ = environment_.Now();
  const std::int64_t cutoff_ms = ComputeCutoffMs();
  for (const auto& [id, partition] : ownership_.partitions()) {
    RemoveFinished(*partition, cutoff_ms);
  }
}

std::int64_t RetentionSweeper::ComputeCutoffMs() const {
  const std::uint64_t configured = agent_.configuration().batch().retention_s();
  const Duration retention = configured == 0 ? options_.default_retention : seconds(configured);
  return environment_.WallMilliseconds() -
         std::chrono::duration_cast<milliseconds>(retention).count();
}

void RetentionSweeper::RemoveFinished(OwnedPartition& partition, std::int64_t cutoff_ms) {
  std::vector<proto::LogEntry> entries;
  for (std::string& batch_id : partition.store().FindBatchesFinishedBy(cutoff_ms)) {
    if (entries.size() < kMaxRemovedPerSweep) {
      entries.emplace_back().mutable_batch_removed()->set_batch_id(std::move(batch_id));
    }
  }
  if (!entries.empty()) {
    partition.AppendEntries(std::move(entries), [](const Status&) {});
  }
}

}  // namespace cloverbank

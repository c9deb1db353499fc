#include "queue/partition_recovery.h"

#include <algorithm>

#include "base/logging.h"
#include "batches/owned_partition.h"
#include "batches/partition_replay.h"
#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

constexpr Duration kReadDeadline = seconds(3);
constexpr Duration kReportDeadline = seconds(2);
constexpr Duration kRetryDelay = milliseconds(100);
/// An append takes entries until they reach this size, so it may exceed it by part of one entry.
constexpr std::size_t kTargetChunkBytes = 2U << 20U;

}  // namespace

PartitionRecovery::PartitionRecovery(Environment& environment, NodeAgent& agent, SegmentLog& log,
                                     std::shared_ptr<ReadLimit> read_limit,
                                     proto::RecoverPartitionsRequest request,
                                     const std::vector<PartitionId>& partitions,
                                     std::function<void(const std::string&)> on_fenced)
    : environment_(environment),
      agent_(agent),
      log_(log),
      read_limit_(std::move(read_limit)),
      request_(std::move(request)),
      on_fenced_(std::move(on_fenced)),
      segment_reads_(static_cast<std::size_t>(request_.segments_size())) {
  for (const PartitionId partition : partitions) {
    recovering_[partition];
  }
}

void PartitionRecovery::Start() { ReadRemaining(); }

void PartitionRecovery::HandleRepeatedRequest(const proto::RecoverPartitionsRequest& request) {
  for (proto::RecoverySegment& current : *request_.mutable_segments()) {
    for (const proto::RecoverySegment& updated : request.segments()) {
      if (updated.segment_id() == current.segment_id()) {
        current = updated;
      }
    }
  }
  const bool all_durable =
      std::all_of(recovering_.begin(), recovering_.end(),
                  [](const auto& recovering) { return recovering.second.durable; });
  if (all_durable && entries_sorted_) {
    reported_ = false;
    ReportRecovered();
  }
}

void PartitionRecovery::Drop(PartitionId partition) { recovering_.erase(partition); }

std::unique_ptr<BatchStore> PartitionRecovery::TakeStore(PartitionId partition) {
  const auto recovering = recovering_.find(partition);
  if (recovering == recovering_.end() || !recovering->second.durable) {
    return nullptr;
  }
  auto store = std::move(recovering->second.store);
  recovering_.erase(recovering);
  return store;
}

std::vector<proto::LogEntry> PartitionRecovery::Watermarks() const {
  std::vector<proto::LogEntry> watermarks;
  for (const auto& [partition, recovering] : recovering_) {
    if (recovering.durable) {
      watermarks.push_back(MakePartitionWatermark(partition, recovering.next_sequence, false));
    }
  }
  return watermarks;
}

void PartitionRecovery::RetryLater(void (PartitionRecovery::*step)()) {
  environment_.ScheduleAfter(kRetryDelay, [weak = weak_from_this(), step] {
    if (const auto self = weak.lock()) {
      ((*self).*step)();
    }
  });
}

void PartitionRecovery::ReadRemaining() {
  for (std::size_t i = 0; i < segment_reads_.size() && !waiting_for_read_slot_; ++i) {
    if (!segment_reads_[i].done && !segment_reads_[i].in_progress) {
      ReadSegment(i);
    }
  }
  const bool all_read =
      std::all_of(segment_reads_.begin(), segment_reads_.end(),
                  [](const SegmentRead& segment_read) { return segment_read.done; });
  if (all_read && !entries_sorted_) {
    SortEntries();
    LogRemaining();
  }
}

void PartitionRecovery::ReadSegment(std::size_t segment_index) {
  SegmentRead& segment_read = segment_reads_[segment_index];
  const proto::RecoverySegment& segment = request_.segments(static_cast<int>(segment_index));
  if (segment.backups().empty()) {
    RetryLater(&PartitionRecovery::ReadRemaining);
    return;
  }
  if (!AcquireReadSlot()) {
    return;
  }
  const auto backup = static_cast<int>(segment_read.failed_attempts %
                                       static_cast<std::size_t>(segment.backups_size()));
  const Endpoint endpoint{segment.backups(backup).host(),
                          static_cast<std::uint16_t>(segment.backups(backup).port())};
  segment_read.in_progress = true;
  CallPeer<proto::GetRecoveryDataResponse>(
      environment_, endpoint, "backup.GetRecoveryData", MakeReadRequest(segment), kReadDeadline,
      [weak = weak_from_this(), read_limit = read_limit_,
       segment_index](Result<proto::GetRecoveryDataResponse> result) {
        read_limit->Release();
        if (const auto self = weak.lock()) {
          self->HandleSegmentRead(segment_index, std::move(result));
        }
      });
}

proto::GetRecoveryDataRequest PartitionRecovery::MakeReadRequest(
    const proto::RecoverySegment& segment) const {
  proto::GetRecoveryDataRequest request;
  request.set_dead_node_id(request_.dead_node_id());
  request.set_segment_id(segment.segment_id());
  for (const auto& [partition, recovering] : recovering_) {
    request.add_partition_ids(partition.value());
  }
  return request;
}

bool PartitionRecovery::AcquireReadSlot() {
  const bool acquired = read_limit_->Acquire([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->waiting_for_read_slot_ = false;
      self->ReadRemaining();
    }
  });
  waiting_for_read_slot_ = !acquired;
  return acquired;
}

void PartitionRecovery::HandleSegmentRead(std::size_t segment_index,
                                          Result<proto::GetRecoveryDataResponse> result) {
  SegmentRead& segment_read = segment_reads_[segment_index];
  segment_read.in_progress = false;
  if (!result.ok()) {
    ++segment_read.failed_attempts;
    Log(LogLevel::kWarning, "recovery_read_failed",
        {{"dead_node", request_.dead_node_id()},
         {"segment", request_.segments(static_cast<int>(segment_index)).segment_id()},
         {"status", result.status().ToString()}});
    RetryLater(&PartitionRecovery::ReadRemaining);
    return;
  }
  segment_read.done = true;
  for (proto::LogEntry& entry : *result->mutable_entries()) {
    segment_read.entries.push_back(std::move(entry));
  }
  ReadRemaining();
}

void PartitionRecovery::SortEntries() {
  entries_sorted_ = true;
  std::map<std::uint64_t, PartitionReplay> replays;
  for (SegmentRead& segment_read : segment_reads_) {
    for (proto::LogEntry& entry : segment_read.entries) {
      PartitionReplay& replay = replays[entry.partition_tag()];
      replay.Add(std::move(entry));
    }
    segment_read.entries.clear();
  }
  for (auto& [partition, recovering] : recovering_) {
    PartitionReplay& replay = replays[PartitionTag(partition)];
    recovering.entries = replay.TakeEntries();
    recovering.next_sequence = replay.next_sequence();
    recovering.store = std::make_unique<BatchStore>();
  }
}

std::vector<proto::LogEntry> PartitionRecovery::MakeNextChunk(
    PartitionId partition, RecoveringPartition& recovering) const {
  std::vector<proto::LogEntry> chunk;
  std::size_t bytes = 0;
  if (recovering.logged == 0) {
    chunk.push_back(MakePartitionWatermark(partition, PartitionSequence(1), true));
  }
  while (recovering.logged < recovering.entries.size() && bytes < kTargetChunkBytes) {
    bytes += FramedEntryBytes(recovering.entries[recovering.logged]);
    chunk.push_back(recovering.entries[recovering.logged]);
    ++recovering.logged;
  }
  if (recovering.logged == recovering.entries.size()) {
    chunk.push_back(MakePartitionWatermark(partition, recovering.next_sequence, false));
  }
  return chunk;
}

void PartitionRecovery::LogRemaining() {
  if (logging_ || !entries_sorted_) {
    return;
  }
  for (auto& [partition, recovering] : recovering_) {
    if (!recovering.durable) {
      LogChunk(partition, recovering);
      return;
    }
  }
  ReportRecovered();
}

void PartitionRecovery::LogChunk(PartitionId partition, RecoveringPartition& recovering) {
  logging_ = true;
  const std::size_t logged_before = recovering.logged;
  auto chunk = std::make_shared<std::vector<proto::LogEntry>>(MakeNextChunk(partition, recovering));
  log_.Append(*chunk,
              [weak = weak_from_this(), partition, logged_before, chunk](const Status& status) {
                if (const auto self = weak.lock()) {
                  self->HandleLogged(partition, logged_before, chunk, status);
                }
              });
}

void PartitionRecovery::HandleLogged(PartitionId partition, std::size_t logged_before,
                                     const std::shared_ptr<std::vector<proto::LogEntry>>& chunk,
                                     const Status& status) {
  logging_ = false;
  const auto found = recovering_.find(partition);
  if (!status.ok() && found != recovering_.end()) {
    found->second.logged = logged_before;
  }
  if (status.code() == StatusCode::kUnknownOutcome) {
    return;  // The incarnation has ended.
  }
  if (!status.ok()) {
    RetryLater(&PartitionRecovery::LogRemaining);
    return;
  }
  if (found != recovering_.end()) {
    ApplyChunk(found->second, *chunk);
  }
  LogRemaining();
}

void PartitionRecovery::ApplyChunk(RecoveringPartition& recovering,
                                   std::vector<proto::LogEntry>& chunk) {
  for (proto::LogEntry& entry : chunk) {
    Status applied = recovering.store->Apply(std::move(entry));
    if (!applied.ok()) {
      Log(LogLevel::kError, "recovered_entry_apply_failed", {{"status", applied.ToString()}});
      environment_.metrics().Increment("queue_recovery_corrupt_entries_total");
    }
  }
  recovering.durable = recovering.logged == recovering.entries.size();
  if (recovering.durable) {
    recovering.entries.clear();
    recovering.logged = 0;
  }
}

void PartitionRecovery::ReportRecovered() {
  if (reporting_ || reported_ || recovering_.empty()) {
    return;
  }
  reporting_ = true;
  proto::FinishAssignmentRequest request;
  request.set_dead_node_id(request_.dead_node_id());
  request.set_queue_node_id(agent_.node_id().value());
  for (const auto& [partition, recovering] : recovering_) {
    request.add_partition_ids(partition.value());
  }
  agent_.CallLeader<proto::FinishAssignmentResponse>(
      "coordinator.FinishAssignment", request, kReportDeadline,
      [weak = weak_from_this()](const Result<proto::FinishAssignmentResponse>& result) {
        if (const auto self = weak.lock()) {
          self->HandleReportAnswer(result.status());
        }
      });
}

void PartitionRecovery::HandleReportAnswer(const Status& status) {
  reporting_ = false;
  switch (status.code()) {
    case StatusCode::kOk:
      // The recovered stores are kept until the fleet view names this node as the owner.
      reported_ = true;
      Log(LogLevel::kInfo, "recovery_reported",
          {{"dead_node", request_.dead_node_id()}, {"partitions", recovering_.size()}});
      return;
    case StatusCode::kFenced:
      on_fenced_("the coordinators refused a recovery report: " + status.message());
      return;
    case StatusCode::kConflict:
    case StatusCode::kNotFound:
    case StatusCode::kInvalidArgument:
      // The partitions were probably assigned to another node. Their batches are dropped only when
      // the fleet view names that owner: if they were dropped earlier and this node became the
      // owner after all, it would take the partition for one that was never used.
      reported_ = true;
      Log(LogLevel::kWarning, "recovery_report_refused", {{"status", status.ToString()}});
      return;
    default:
      RetryLater(&PartitionRecovery::ReportRecovered);
  }
}

}  // namespace cloverbank

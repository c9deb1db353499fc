#include "queue/partition_recovery.h"

#include <algorithm>

#include "base/logging.h"
#include "log/segment_format.h"
#include "queue/owned_partition.h"
#include "queue/partition_replay.h"

namespace cloverbank {
namespace {

constexpr Duration kReadDeadline = seconds(3);
constexpr Duration kReportDeadline = seconds(2);
constexpr Duration kRetryDelay = milliseconds(100);
/// Entries are logged in pieces of about this many bytes.
constexpr std::size_t kChunkBytes = 2U << 20U;

}  // namespace

PartitionRecovery::PartitionRecovery(Environment& environment, NodeAgent& agent, SegmentLog& log,
                                     std::shared_ptr<ReadLimit> reads,
                                     proto::RecoverPartitionsRequest request,
                                     const std::vector<PartitionId>& partitions,
                                     std::function<void(const std::string&)> fenced)
    : environment_(environment),
      agent_(agent),
      log_(log),
      reads_(std::move(reads)),
      request_(std::move(request)),
      fenced_(std::move(fenced)),
      sources_(static_cast<std::size_t>(request_.segments_size())) {
  for (const PartitionId partition : partitions) {
    parts_[partition];
  }
}

void PartitionRecovery::Start() { ReadMore(); }

void PartitionRecovery::UpdateSources(const proto::RecoverPartitionsRequest& request) {
  for (proto::RecoverySegment& known : *request_.mutable_segments()) {
    for (const proto::RecoverySegment& told : request.segments()) {
      if (told.segment_id() == known.segment_id()) {
        known = told;
      }
    }
  }
  const bool held =
      std::all_of(parts_.begin(), parts_.end(), [](const auto& part) { return part.second.held; });
  if (held && sorted_) {
    reported_ = false;
    Report();
  }
}

void PartitionRecovery::Drop(PartitionId partition) { parts_.erase(partition); }

std::unique_ptr<BatchStore> PartitionRecovery::TakeStore(PartitionId partition) {
  const auto part = parts_.find(partition);
  if (part == parts_.end() || !part->second.held) {
    return nullptr;
  }
  auto store = std::move(part->second.store);
  parts_.erase(part);
  return store;
}

std::vector<proto::LogEntry> PartitionRecovery::Marks() const {
  std::vector<proto::LogEntry> marks;
  for (const auto& [partition, part] : parts_) {
    if (part.held) {
      marks.push_back(MakePartitionMark(partition, part.next_sequence, false));
    }
  }
  return marks;
}

void PartitionRecovery::Later(void (PartitionRecovery::*step)()) {
  environment_.ScheduleAfter(kRetryDelay, [weak = weak_from_this(), step] {
    if (const auto self = weak.lock()) {
      ((*self).*step)();
    }
  });
}

void PartitionRecovery::ReadMore() {
  for (std::size_t i = 0; i < sources_.size() && !waits_for_room_; ++i) {
    if (!sources_[i].read && !sources_[i].reading) {
      Read(i);
    }
  }
  const bool all_read = std::all_of(sources_.begin(), sources_.end(),
                                    [](const Source& source) { return source.read; });
  if (all_read && !sorted_) {
    Sort();
    LogMore();
  }
}

void PartitionRecovery::Read(std::size_t position) {
  Source& source = sources_[position];
  const proto::RecoverySegment& segment = request_.segments(static_cast<int>(position));
  if (segment.backups().empty()) {
    Later(&PartitionRecovery::ReadMore);
    return;
  }
  if (!TakeRoom()) {
    return;
  }
  const auto backup =
      static_cast<int>(source.tries % static_cast<std::size_t>(segment.backups_size()));
  const Endpoint endpoint{segment.backups(backup).host(),
                          static_cast<std::uint16_t>(segment.backups(backup).port())};
  proto::GetRecoveryDataRequest request;
  request.set_dead_node_id(request_.dead_node_id());
  request.set_segment_id(segment.segment_id());
  for (const auto& [partition, part] : parts_) {
    request.add_partition_ids(partition.value());
  }
  source.reading = true;
  CallPeer<proto::GetRecoveryDataResponse>(
      environment_, endpoint, "backup.GetRecoveryData", request, kReadDeadline,
      [weak = weak_from_this(), reads = reads_,
       position](Result<proto::GetRecoveryDataResponse> result) {
        reads->Release();
        if (const auto self = weak.lock()) {
          self->TakeRead(position, std::move(result));
        }
      });
}

bool PartitionRecovery::TakeRoom() {
  const bool taken = reads_->Take([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->waits_for_room_ = false;
      self->ReadMore();
    }
  });
  waits_for_room_ = !taken;
  return taken;
}

void PartitionRecovery::TakeRead(std::size_t position,
                                 Result<proto::GetRecoveryDataResponse> result) {
  Source& source = sources_[position];
  source.reading = false;
  if (!result.ok()) {
    ++source.tries;
    Log(LogLevel::kWarning, "recovery_read_failed",
        {{"dead_node", request_.dead_node_id()},
         {"segment", request_.segments(static_cast<int>(position)).segment_id()},
         {"status", result.status().ToString()}});
    Later(&PartitionRecovery::ReadMore);
    return;
  }
  source.read = true;
  for (proto::LogEntry& entry : *result->mutable_entries()) {
    source.entries.push_back(std::move(entry));
  }
  ReadMore();
}

void PartitionRecovery::Sort() {
  sorted_ = true;
  std::map<std::uint64_t, PartitionReplay> replays;
  for (Source& source : sources_) {
    for (proto::LogEntry& entry : source.entries) {
      PartitionReplay& replay = replays[entry.partition_tag()];
      replay.Add(std::move(entry));
    }
    source.entries.clear();
  }
  for (auto& [partition, part] : parts_) {
    PartitionReplay& replay = replays[PartitionTag(partition)];
    part.entries = replay.TakeEntries();
    part.next_sequence = replay.next_sequence();
    part.store = std::make_unique<BatchStore>();
  }
}

std::vector<proto::LogEntry> PartitionRecovery::NextChunk(PartitionId partition, Part& part) const {
  std::vector<proto::LogEntry> chunk;
  std::size_t bytes = 0;
  if (part.logged == 0) {
    chunk.push_back(MakePartitionMark(partition, PartitionSequence(1), true));
  }
  while (part.logged < part.entries.size() && bytes < kChunkBytes) {
    bytes += FramedEntryBytes(part.entries[part.logged]);
    chunk.push_back(part.entries[part.logged]);
    ++part.logged;
  }
  if (part.logged == part.entries.size()) {
    chunk.push_back(MakePartitionMark(partition, part.next_sequence, false));
  }
  return chunk;
}

void PartitionRecovery::LogMore() {
  if (logging_ || !sorted_) {
    return;
  }
  for (auto& [partition, part] : parts_) {
    if (part.held) {
      continue;
    }
    logging_ = true;
    const std::size_t before = part.logged;
    auto chunk = std::make_shared<std::vector<proto::LogEntry>>(NextChunk(partition, part));
    log_.Append(*chunk,
                [weak = weak_from_this(), id = partition, before, chunk](const Status& status) {
                  const auto self = weak.lock();
                  if (self == nullptr) {
                    return;
                  }
                  self->logging_ = false;
                  const auto found = self->parts_.find(id);
                  if (!status.ok() && found != self->parts_.end()) {
                    found->second.logged = before;
                  }
                  self->TakeLogged(id, chunk, status);
                });
    return;
  }
  Report();
}

void PartitionRecovery::TakeLogged(PartitionId partition,
                                   const std::shared_ptr<std::vector<proto::LogEntry>>& chunk,
                                   const Status& status) {
  if (status.code() == StatusCode::kUnknownOutcome) {
    return;  // This life is over.
  }
  if (!status.ok()) {
    Later(&PartitionRecovery::LogMore);
    return;
  }
  const auto found = parts_.find(partition);
  if (found != parts_.end()) {
    Part& part = found->second;
    for (proto::LogEntry& entry : *chunk) {
      Status applied = part.store->Apply(std::move(entry));
      if (!applied.ok()) {
        Log(LogLevel::kError, "recovered_entry_not_applied", {{"status", applied.ToString()}});
        environment_.metrics().Increment("queue_recovery_corrupt_entries_total");
      }
    }
    part.held = part.logged == part.entries.size();
    if (part.held) {
      part.entries.clear();
      part.logged = 0;
    }
  }
  LogMore();
}

void PartitionRecovery::Report() {
  if (reporting_ || reported_ || parts_.empty()) {
    return;
  }
  reporting_ = true;
  proto::FinishAssignmentRequest request;
  request.set_dead_node_id(request_.dead_node_id());
  request.set_queue_node_id(agent_.node_id().value());
  for (const auto& [partition, part] : parts_) {
    request.add_partition_ids(partition.value());
  }
  agent_.CallLeader<proto::FinishAssignmentResponse>(
      "coordinator.FinishAssignment", request, kReportDeadline,
      [weak = weak_from_this()](const Result<proto::FinishAssignmentResponse>& result) {
        if (const auto self = weak.lock()) {
          self->TakeReport(result.status());
        }
      });
}

void PartitionRecovery::TakeReport(const Status& status) {
  reporting_ = false;
  switch (status.code()) {
    case StatusCode::kOk:
      reported_ = true;  // The stores wait until the fleet view names this node as the owner.
      Log(LogLevel::kInfo, "recovery_reported",
          {{"dead_node", request_.dead_node_id()}, {"partitions", parts_.size()}});
      return;
    case StatusCode::kFenced:
      fenced_("coordinators refused a recovery: " + status.message());
      return;
    case StatusCode::kConflict:
    case StatusCode::kNotFound:
    case StatusCode::kInvalidArgument:
      // Given to another node, as it seems. What is held here is dropped only when the fleet view
      // names that owner: a store thrown away too early would make a recovered partition look
      // unused.
      reported_ = true;
      Log(LogLevel::kWarning, "recovery_report_refused", {{"status", status.ToString()}});
      return;
    default:
      Later(&PartitionRecovery::Report);
  }
}

}  // namespace cloverbank

#include "consensus/raft_storage.h"

#include <utility>

#include "storage/record_file.h"

namespace cloverbank {
namespace {

constexpr char kMetadataFile[] = "consensus/metadata";
constexpr char kSnapshotFile[] = "consensus/snapshot";
constexpr char kLogFile[] = "consensus/log";
/// Seed of the records' checksums, so that records of other files fail the check.
constexpr std::uint64_t kChecksumSeed = 0x7261667431ULL;

Status CorruptFile(const std::string& file, const std::string& problem) {
  return {StatusCode::kCorrupt, file + ": " + problem};
}

/// Applies one entry that was read from the log file: it replaces the entry at its index, if there
/// is one, and removes all later ones. @return false if it leaves a gap, lies at or before the
/// base, or has a lower term than its predecessor.
bool ReplayEntry(RaftDurableState& state, const proto::RaftEntry& entry) {
  const std::uint64_t last_index = state.base_index + state.entries.size();
  if (entry.index() <= state.base_index || entry.index() > last_index + 1) {
    return false;
  }
  state.entries.resize(entry.index() - state.base_index - 1);
  const std::uint64_t last_term =
      state.entries.empty() ? state.base_term : state.entries.back().term();
  if (entry.term() < last_term) {
    return false;
  }
  state.entries.push_back(entry);
  return true;
}

/// @return whether the log contains the last entry that the snapshot includes.
bool ContainsLastSnapshotEntry(const RaftDurableState& state) {
  const std::uint64_t index = state.snapshot->last_included_index();
  const std::uint64_t term = state.snapshot->last_included_term();
  if (index == state.base_index) {
    return term == state.base_term;
  }
  const std::uint64_t last_index = state.base_index + state.entries.size();
  return index <= last_index && state.entries[index - state.base_index - 1].term() == term;
}

std::string SerializeLogRecord(const RaftWrite& write) {
  proto::RaftLogRecord record;
  if (write.replaces_log) {
    record.set_base_index(write.base_index);
    record.set_base_term(write.base_term);
  }
  for (const proto::RaftEntry& entry : write.entries) {
    *record.add_entries() = entry;
  }
  return EncodeRecord(record.SerializeAsString(), kChecksumSeed);
}

}  // namespace

RaftStorage::RaftStorage(DataFolder& folder, std::function<void(RaftWriteId)> on_persisted,
                         std::function<void(Status)> on_failed,
                         std::function<void(Status)> on_disk_full)
    : folder_(folder),
      on_persisted_(std::move(on_persisted)),
      on_failed_(std::move(on_failed)),
      on_disk_full_(std::move(on_disk_full)) {}

Result<RaftDurableState> RaftStorage::Load() {
  RaftDurableState state;
  bool has_metadata = false;
  if (Status status = LoadRecord(kMetadataFile, state.metadata, has_metadata); !status.ok()) {
    return status;
  }
  bool has_snapshot = false;
  auto snapshot = std::make_shared<proto::RaftSnapshot>();
  if (Status status = LoadRecord(kSnapshotFile, *snapshot, has_snapshot); !status.ok()) {
    return status;
  }
  if (has_snapshot) {
    state.snapshot = std::move(snapshot);
  }
  if (Status status = LoadLog(state); !status.ok()) {
    return status;
  }
  if (Status status = ReconcileFiles(state); !status.ok()) {
    return status;
  }
  if (log_needs_rewrite_) {
    QueueLogRewrite(state);
  }
  return state;
}

Result<std::string> RaftStorage::ReadIfPresent(const std::string& name) {
  Result<std::string> bytes = folder_.Read(name);
  if (!bytes.ok() && bytes.status().code() == StatusCode::kNotFound) {
    return std::string();
  }
  return bytes;
}

Status RaftStorage::LoadRecord(const std::string& name, google::protobuf::MessageLite& message,
                               bool& present) {
  Result<std::string> bytes = ReadIfPresent(name);
  if (!bytes.ok()) {
    return bytes.status();
  }
  present = !bytes->empty();
  if (!present) {
    return Status::Ok();
  }
  RecordReader reader(*bytes, kChecksumSeed);
  const auto payload = reader.Next();
  if (!payload || !message.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
    return CorruptFile(name, "its record has a wrong checksum or cannot be parsed");
  }
  return Status::Ok();
}

Status RaftStorage::LoadLog(RaftDurableState& state) {
  Result<std::string> bytes = ReadIfPresent(kLogFile);
  if (!bytes.ok()) {
    return bytes.status();
  }
  RecordReader reader(*bytes, kChecksumSeed);
  bool first = true;
  while (const auto payload = reader.Next()) {
    proto::RaftLogRecord record;
    if (!record.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
      return CorruptFile(kLogFile, "a record with a valid checksum cannot be parsed");
    }
    if (first) {
      state.base_index = record.base_index();
      state.base_term = record.base_term();
    }
    first = false;
    for (const proto::RaftEntry& entry : record.entries()) {
      if (!ReplayEntry(state, entry)) {
        return CorruptFile(kLogFile, "entry " + std::to_string(entry.index()) + " of term " +
                                         std::to_string(entry.term()) +
                                         " is out of order after entry " +
                                         std::to_string(state.base_index + state.entries.size()));
      }
    }
  }
  if (reader.tail() == RecordTail::kCorrupt) {
    return CorruptFile(kLogFile, "a damaged record is followed by a valid one");
  }
  log_needs_rewrite_ = reader.tail() != RecordTail::kClean;
  return Status::Ok();
}

Status RaftStorage::ReconcileFiles(RaftDurableState& state) {
  const bool has_log = state.base_index != 0 || !state.entries.empty();
  if ((state.snapshot || has_log) && state.metadata.cluster_id() == 0) {
    return CorruptFile(kMetadataFile,
                       "missing or without a cluster id, though there is a log or a snapshot");
  }
  const std::uint64_t snapshot_index = state.snapshot ? state.snapshot->last_included_index() : 0;
  if (state.base_index > snapshot_index) {
    return CorruptFile(kSnapshotFile,
                       "missing or too old: it ends at index " + std::to_string(snapshot_index) +
                           ", but the log starts after index " + std::to_string(state.base_index));
  }
  if (state.snapshot && !ContainsLastSnapshotEntry(state)) {
    state.entries.clear();
    state.base_index = snapshot_index;
    state.base_term = state.snapshot->last_included_term();
    log_needs_rewrite_ = true;
  }
  const std::uint64_t last_term =
      state.entries.empty() ? state.base_term : state.entries.back().term();
  if (last_term > state.metadata.current_term()) {
    return CorruptFile(kMetadataFile, "its term " + std::to_string(state.metadata.current_term()) +
                                          " is lower than the last term of the log, " +
                                          std::to_string(last_term));
  }
  return Status::Ok();
}

void RaftStorage::QueueLogRewrite(const RaftDurableState& state) {
  RaftWrite rewrite;
  rewrite.replaces_log = true;
  rewrite.base_index = state.base_index;
  rewrite.base_term = state.base_term;
  rewrite.entries = state.entries;
  queue_.push_back(std::move(rewrite));
}

void RaftStorage::Write(RaftWrite write) {
  queue_.push_back(std::move(write));
  StartNextWrite();
}

void RaftStorage::Start() {
  started_ = true;
  StartNextWrite();
}

void RaftStorage::StartNextWrite() {
  if (!started_ || write_in_progress_ || failed_ || queue_.empty()) {
    return;
  }
  write_in_progress_ = true;
  current_write_ = std::move(queue_.front());
  queue_.pop_front();
  // Group commit: merges the queued writes up to the first that has a snapshot or replaces the log.
  while (!queue_.empty() && !queue_.front().snapshot && !queue_.front().replaces_log) {
    RaftWrite& next = queue_.front();
    current_write_.id = next.id;
    if (next.metadata) {
      current_write_.metadata = std::move(next.metadata);
    }
    current_write_.entries.insert(current_write_.entries.end(),
                                  std::make_move_iterator(next.entries.begin()),
                                  std::make_move_iterator(next.entries.end()));
    queue_.pop_front();
  }
  WriteMetadata();
}

void RaftStorage::WriteMetadata() {
  if (!current_write_.metadata) {
    WriteSnapshot();
    return;
  }
  folder_.Replace(kMetadataFile,
                  EncodeRecord(current_write_.metadata->SerializeAsString(), kChecksumSeed),
                  ContinueWith(&RaftStorage::WriteMetadata, &RaftStorage::WriteSnapshot));
}

void RaftStorage::WriteSnapshot() {
  if (!current_write_.snapshot) {
    WriteLog();
    return;
  }
  folder_.Replace(kSnapshotFile,
                  EncodeRecord(current_write_.snapshot->SerializeAsString(), kChecksumSeed),
                  ContinueWith(&RaftStorage::WriteSnapshot, &RaftStorage::WriteLog));
}

void RaftStorage::WriteLog() {
  if (current_write_.replaces_log) {
    folder_.Replace(kLogFile, SerializeLogRecord(current_write_),
                    ContinueWith(&RaftStorage::WriteLog, &RaftStorage::FinishWrite));
  } else if (!current_write_.entries.empty()) {
    folder_.Append(kLogFile, SerializeLogRecord(current_write_),
                   ContinueWith(&RaftStorage::WriteLog, &RaftStorage::FinishWrite));
  } else {
    FinishWrite();
  }
}

void RaftStorage::FinishWrite() {
  write_in_progress_ = false;
  const RaftWriteId finished = current_write_.id;
  current_write_ = {};
  StartNextWrite();
  on_persisted_(finished);
}

DataFolder::Done RaftStorage::ContinueWith(Step step, Step next) {
  return [this, step, next, alive = std::weak_ptr<bool>(alive_)](Status status) {
    if (alive.expired() || failed_) {
      return;
    }
    if (status.ok()) {
      (this->*next)();
    } else {
      HandleFailure(step, std::move(status));
    }
  };
}

void RaftStorage::HandleFailure(Step step, Status status) {
  if (status.code() == StatusCode::kResourceExhausted) {
    step_to_retry_ = step;
    on_disk_full_(std::move(status));
    return;
  }
  failed_ = true;
  on_failed_(std::move(status));
}

void RaftStorage::Retry() {
  if (const Step step = std::exchange(step_to_retry_, nullptr)) {
    (this->*step)();
  }
}

}  // namespace cloverbank

#include "backup/segment_store.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

Status FencedError(NodeId node) {
  return {StatusCode::kFenced,
          "node " + node.ToString() + " is fenced, because it was declared dead"};
}

Status StaleEpochError(HeadEpoch requested_epoch, HeadEpoch current_epoch) {
  return {StatusCode::kStaleEpoch,
          "epoch " + requested_epoch.ToString() + " is older than the replica's epoch " +
              current_epoch.ToString(),
          current_epoch.ToString()};
}

Status ConflictError(std::string message, std::uint64_t length) {
  return {StatusCode::kConflict, std::move(message), std::to_string(length)};
}

/// @return the header of the next generation.
/// @param length synced bytes; they consist of complete entries unless a replacement is in
/// progress.
ReplicaHeader NextHeader(ReplicaHeader header, ReplicaState state, HeadEpoch epoch,
                         std::uint64_t length) {
  header.length = state == ReplicaState::kReplacing ? 0 : length;
  header.state = state;
  header.epoch = epoch;
  ++header.generation;
  return header;
}

bool EndsWithCompleteEntry(SegmentId segment, std::string_view bytes) {
  return ScanSegment(segment, bytes).tail == RecordTail::kClean;
}

/// Decides which headers are written before and after a write that is part of a replacement. A
/// replacement in an empty replica is not offered (hidden) until it is complete. During a
/// replacement over older content, the older content is still offered under its own epoch.
/// @return whether the replacement is still incomplete after this write.
bool DecideReplacement(const Replica& replica, const proto::WriteSegmentRequest& request,
                       ReplicaChange* change) {
  const HeadEpoch epoch(request.epoch());
  const bool epoch_raised = epoch > replica.current_epoch();
  const bool hidden = replica.header.state == ReplicaState::kReplacing || replica.length == 0;
  if (hidden && (epoch_raised || replica.header.state == ReplicaState::kOpen)) {
    change->header_before = NextHeader(replica.header, ReplicaState::kReplacing, epoch, 0);
  }
  const bool over_older_content = !hidden && (epoch_raised || replica.replacement_epoch.valid());
  if (over_older_content && epoch_raised) {
    change->replacement_epoch = epoch;
  }
  if (!request.replace_complete()) {
    return hidden || over_older_content;
  }
  if (hidden || over_older_content) {
    const ReplicaHeader& previous_header =
        change->header_before ? *change->header_before : replica.header;
    change->header = NextHeader(previous_header, ReplicaState::kOpen, epoch,
                                replica.length + change->data.size());
    change->replacement_epoch = HeadEpoch();
  }
  return false;
}

}  // namespace

HeadEpoch Replica::current_epoch() const { return std::max(header.epoch, replacement_epoch); }

bool Replica::IsOpen() const {
  return header.state == ReplicaState::kOpen || header.state == ReplicaState::kReplacing;
}

bool Replica::IsOffered() const {
  return !corrupt && header.state != ReplicaState::kReplacing && length > 0;
}

Result<ReplicaChange> SegmentStore::Open(const proto::OpenSegmentRequest& request,
                                         std::uint64_t free_bytes, TimePoint now) {
  const ReplicaKey key = ReplicaKeyFor(request);
  const HeadEpoch epoch(request.epoch());
  if (IsFenced(key.node)) {
    return FencedError(key.node);
  }
  if (!key.node.valid() || !key.segment.valid() || !epoch.valid()) {
    return Status(StatusCode::kInvalidArgument, "node id, segment id and epoch must not be 0");
  }
  if (request.capacity() == 0 || request.capacity() > options_.maximum_segment_bytes) {
    return Status(StatusCode::kInvalidArgument,
                  "capacity is " + std::to_string(request.capacity()) + " bytes; expected 1 to " +
                      std::to_string(options_.maximum_segment_bytes));
  }
  const auto found = replicas_.find(key);
  if (found == replicas_.end()) {
    if (WasFreedRecently(key, epoch, now)) {
      return Status(StatusCode::kStaleEpoch, "segment " + key.segment.ToString() +
                                                 " was freed recently; epoch " + epoch.ToString() +
                                                 " cannot open it again yet");
    }
    return OpenNew(request, free_bytes, false);
  }
  const Replica& replica = found->second;
  if (epoch < replica.current_epoch()) {
    return StaleEpochError(epoch, replica.current_epoch());
  }
  return replica.corrupt ? OpenNew(request, free_bytes, true) : Reopen(replica, request);
}

Result<ReplicaChange> SegmentStore::OpenNew(const proto::OpenSegmentRequest& request,
                                            std::uint64_t free_bytes, bool remove_first) {
  if (staging_bytes() + request.capacity() > options_.staging_bytes) {
    return Status(StatusCode::kResourceExhausted,
                  "open segments take " + std::to_string(staging_bytes()) + " of " +
                      std::to_string(options_.staging_bytes) +
                      " bytes of staging memory; too little is left for " +
                      std::to_string(request.capacity()));
  }
  if (free_bytes < request.capacity() + kSegmentDataOffset + options_.spare_disk_bytes) {
    return Status(StatusCode::kResourceExhausted,
                  "disk has " + std::to_string(free_bytes) +
                      " bytes free, too few for a segment of " +
                      std::to_string(request.capacity()) + " bytes and " +
                      std::to_string(options_.spare_disk_bytes) + " spare bytes");
  }
  ReplicaChange change;
  change.remove = remove_first;
  change.create = true;
  change.header.emplace();
  change.header->key = ReplicaKeyFor(request);
  change.header->epoch = HeadEpoch(request.epoch());
  change.header->capacity = request.capacity();
  change.header->generation = 1;
  opening_capacities_[change.header->key] = request.capacity();
  return change;
}

Result<ReplicaChange> SegmentStore::Reopen(const Replica& replica,
                                           const proto::OpenSegmentRequest& request) {
  const HeadEpoch epoch(request.epoch());
  if (!replica.IsOpen()) {
    return ConflictError("segment is closed", replica.length);
  }
  if (replica.failed) {
    return Status(StatusCode::kIoError, "an earlier disk write to this replica failed");
  }
  if (request.capacity() > replica.header.capacity) {
    return Status(StatusCode::kInvalidArgument,
                  "segment is open with capacity " + std::to_string(replica.header.capacity) +
                      " bytes, less than the requested " + std::to_string(request.capacity()));
  }
  ReplicaChange change;
  if (epoch == replica.current_epoch()) {
    return change;
  }
  if (replica.length == 0 || replica.header.state == ReplicaState::kReplacing) {
    change.header = NextHeader(replica.header, replica.header.state, epoch, replica.length);
  } else {
    change.replacement_epoch = epoch;
  }
  return change;
}

Result<Replica*> SegmentStore::FindForWriter(const ReplicaKey& key) {
  if (IsFenced(key.node)) {
    return FencedError(key.node);
  }
  const auto found = replicas_.find(key);
  if (found == replicas_.end()) {
    return Status(StatusCode::kNotFound, "no replica of segment " + key.segment.ToString() +
                                             " of node " + key.node.ToString() + "; open it first");
  }
  if (found->second.corrupt) {
    return Status(StatusCode::kCorrupt, "this replica failed a check and is marked corrupt");
  }
  if (found->second.failed) {
    return Status(StatusCode::kIoError, "an earlier disk write to this replica failed");
  }
  return &found->second;
}

Status SegmentStore::CheckWrite(const Replica& replica,
                                const proto::WriteSegmentRequest& request) const {
  const HeadEpoch epoch(request.epoch());
  if (epoch < replica.current_epoch()) {
    return StaleEpochError(epoch, replica.current_epoch());
  }
  if (!replica.IsOpen()) {
    return ConflictError("segment is closed", replica.length);
  }
  const std::string& data = request.data();
  if (request.offset() > replica.length) {
    return ConflictError("write at offset " + std::to_string(request.offset()) +
                             " leaves a gap after the " + std::to_string(replica.length) +
                             " bytes stored",
                         replica.length);
  }
  if (data.size() > replica.header.capacity - request.offset()) {
    return {StatusCode::kResourceExhausted,
            "write of " + std::to_string(data.size()) + " bytes at offset " +
                std::to_string(request.offset()) + " exceeds the segment's capacity of " +
                std::to_string(replica.header.capacity) + " bytes"};
  }
  const bool replacing =
      replica.header.state == ReplicaState::kReplacing || replica.replacement_epoch.valid();
  if (replacing && !request.atomic_replace() && !request.replace_complete()) {
    return Status(StatusCode::kConflict, "replacement of this replica is not complete");
  }
  const std::size_t overlap = std::min<std::size_t>(data.size(), replica.length - request.offset());
  if (replica.staging.compare(request.offset(), overlap, data, 0, overlap) != 0) {
    return {StatusCode::kCorrupt, "write at offset " + std::to_string(request.offset()) +
                                      " differs from the bytes already stored"};
  }
  return Status::Ok();
}

Result<ReplicaChange> SegmentStore::Write(const proto::WriteSegmentRequest& request) {
  const ReplicaKey key = ReplicaKeyFor(request);
  Result<Replica*> found = FindForWriter(key);
  if (!found.ok()) {
    return found.status();
  }
  const Replica& replica = **found;
  if (Status status = CheckWrite(replica, request); !status.ok()) {
    return status;
  }
  const std::uint64_t already_stored = replica.length - request.offset();
  ReplicaChange change;
  if (already_stored < request.data().size()) {
    change.data = request.data().substr(already_stored);
  }
  bool replacement_incomplete = false;
  if (request.atomic_replace() || request.replace_complete()) {
    replacement_incomplete = DecideReplacement(replica, request, &change);
  } else if (HeadEpoch(request.epoch()) > replica.header.epoch) {
    change.header_before = NextHeader(replica.header, replica.header.state,
                                      HeadEpoch(request.epoch()), replica.length);
  }
  const bool completes_replacement = request.replace_complete() && change.header.has_value();
  const bool ends_with_complete_entry =
      completes_replacement
          ? EndsWithCompleteEntry(key.segment, replica.staging + change.data)
          : replacement_incomplete || EndsWithCompleteEntry(key.segment, change.data);
  if (!ends_with_complete_entry) {
    return Status(StatusCode::kCorrupt,
                  "write does not consist of complete entries with valid checksums");
  }
  return change;
}

Result<ReplicaChange> SegmentStore::SetEpoch(const proto::SetSegmentEpochRequest& request) {
  Result<Replica*> found = FindForWriter(ReplicaKeyFor(request));
  if (!found.ok()) {
    return found.status();
  }
  const Replica& replica = **found;
  const HeadEpoch epoch(request.epoch());
  if (epoch < replica.current_epoch()) {
    return StaleEpochError(epoch, replica.current_epoch());
  }
  ReplicaChange change;
  if (epoch == replica.current_epoch()) {
    return change;
  }
  if (!replica.IsOpen()) {
    return ConflictError("segment is closed", replica.length);
  }
  if (replica.replacement_epoch.valid()) {
    change.replacement_epoch = epoch;
  } else {
    change.header = NextHeader(replica.header, replica.header.state, epoch, replica.length);
  }
  return change;
}

Result<ReplicaChange> SegmentStore::Close(const proto::CloseSegmentRequest& request) {
  Result<Replica*> found = FindForWriter(ReplicaKeyFor(request));
  if (!found.ok()) {
    return found.status();
  }
  const Replica& replica = **found;
  if (request.length() != replica.length) {
    return ConflictError("close at length " + std::to_string(request.length()) +
                             ", but the replica has length " + std::to_string(replica.length),
                         replica.length);
  }
  ReplicaChange change;
  if (!replica.IsOpen()) {
    return change;
  }
  if (replica.header.state == ReplicaState::kReplacing || replica.replacement_epoch.valid()) {
    return Status(StatusCode::kConflict, "replacement of this replica is not complete");
  }
  change.header =
      NextHeader(replica.header, ReplicaState::kClosed, replica.header.epoch, replica.length);
  change.truncate = true;
  return change;
}

Result<ReplicaChange> SegmentStore::Free(const proto::FreeSegmentRequest& request) {
  const ReplicaKey key = ReplicaKeyFor(request);
  if (IsFenced(key.node)) {
    return FencedError(key.node);
  }
  return Remove(key);
}

ReplicaChange SegmentStore::Seal(const ReplicaKey& key, std::uint64_t length) {
  ReplicaChange change;
  const auto found = replicas_.find(key);
  if (found != replicas_.end() && found->second.header.state == ReplicaState::kOpen) {
    const ReplicaHeader& header = found->second.header;
    change.header = NextHeader(header, ReplicaState::kSealed, header.epoch, length);
  }
  return change;
}

ReplicaChange SegmentStore::Remove(const ReplicaKey& key) {
  ReplicaChange change;
  change.remove = replicas_.contains(key);
  return change;
}

}  // namespace cloverbank

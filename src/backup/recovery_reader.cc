#include "backup/recovery_reader.h"

#include <utility>

#include "backup/corrupt_replica.h"
#include "backup/replica_reader.h"
#include "base/logging.h"
#include "log_format/segment_format.h"

namespace cloverbank {

/// The removal of all replicas of one node; replies after the last replica.
class RecoveryReader::Removal {
 public:
  Removal(std::size_t count, Reply<proto::ReleaseRecoveryDataResponse> reply)
      : remaining_(count), reply_(std::move(reply)) {}

  void RecordRemoved(const Status& status) {
    if (!status.ok() && first_failure_.ok()) {
      first_failure_ = status;
    }
    if (--remaining_ > 0) {
      return;
    }
    if (first_failure_.ok()) {
      reply_(proto::ReleaseRecoveryDataResponse());
    } else {
      reply_(first_failure_);
    }
  }

 private:
  std::size_t remaining_;
  Status first_failure_;
  Reply<proto::ReleaseRecoveryDataResponse> reply_;
};

RecoveryReader::RecoveryReader(Environment& environment, DataFolder& folder, SegmentStore& store,
                               ReplicaOperations& operations, FenceFile& fences)
    : environment_(environment),
      folder_(folder),
      store_(store),
      operations_(operations),
      fences_(fences) {}

void RecoveryReader::FenceNode(NodeId node, DataFolder::Done done) {
  store_.Fence(node);
  environment_.metrics().SetGauge("backup_fenced_nodes",
                                  static_cast<double>(store_.fenced().size()));
  if (fences_.IsSynced(node)) {
    done(Status::Ok());
    return;
  }
  Log(LogLevel::kInfo, "node_fenced", {{"node", node.value()}});
  fences_.Add(node, std::move(done));
}

void RecoveryReader::StartReadingData(NodeId node, Reply<proto::StartReadingDataResponse> reply) {
  const bool already_started = pending_replies_.contains(node);
  pending_replies_[node].push_back(std::move(reply));
  if (already_started) {
    return;
  }
  FenceNode(node, [this, node](const Status& status) {
    if (!status.ok()) {
      CompleteReading(node, status);
      return;
    }
    operations_.WhenIdle(node, [this, node] { StartCheck(node); });
  });
}

void RecoveryReader::StartCheck(NodeId node) {
  auto check = std::make_shared<ReplicaCheck>();
  check->node = node;
  check->keys = store_.FindKeys(node);
  ContinueCheck(check);
}

void RecoveryReader::ContinueCheck(const std::shared_ptr<ReplicaCheck>& check) {
  while (check->position < check->keys.size()) {
    const ReplicaKey key = check->keys[check->position];
    ++check->position;
    if (CheckReplica(key, [this, check] { ContinueCheck(check); })) {
      return;
    }
  }
  CompleteReading(check->node, ListOfferedSegments(check->node));
}

bool RecoveryReader::CheckReplica(const ReplicaKey& key, std::function<void()> next) {
  const Replica* replica = store_.Find(key);
  if (replica == nullptr || !replica->IsOffered() || replica->checked) {
    return false;
  }
  const Result<std::string> bytes = ReadReplica(folder_, *replica);
  if (!bytes.ok()) {
    DropCorrupt(key, bytes.status());
    return false;
  }
  if (replica->IsOpen()) {
    Seal(key, *bytes, std::move(next));
    return true;
  }
  store_.RecordChecked(key, FindLogDigest(key.segment, *bytes));
  // Check one segment per turn of the event loop, so that other calls and timers are not delayed.
  environment_.ScheduleAfter(Duration::zero(), std::move(next));
  return true;
}

void RecoveryReader::Seal(const ReplicaKey& key, const std::string& bytes,
                          std::function<void()> next) {
  std::vector<std::uint64_t> digest = FindLogDigest(key.segment, bytes);
  const std::uint64_t length = bytes.size();
  operations_.Submit(
      key, [this, key, length]() -> Result<ReplicaChange> { return store_.Seal(key, length); },
      [this, key, length, digest = std::move(digest),
       next = std::move(next)](const Status& status) {
        if (!status.ok()) {
          // Seal in memory although the disk write failed: this may be the last replica, and the
          // synced fence also makes the backup refuse late writes.
          store_.Apply(key, store_.Seal(key, length), environment_.Now());
        }
        store_.RecordChecked(key, digest);
        next();
      });
}

proto::StartReadingDataResponse RecoveryReader::ListOfferedSegments(NodeId node) const {
  proto::StartReadingDataResponse response;
  for (const ReplicaKey& key : store_.FindKeys(node)) {
    const Replica* replica = store_.Find(key);
    if (!replica->IsOffered() || !replica->checked) {
      continue;
    }
    proto::StoredSegment* segment = response.add_segments();
    segment->set_segment_id(key.segment.value());
    segment->set_length(replica->length);
    segment->set_epoch(replica->header.epoch.value());
    segment->set_closed(replica->header.state == ReplicaState::kClosed);
    for (const std::uint64_t id : replica->digest) {
      segment->add_digest(id);
    }
  }
  return response;
}

void RecoveryReader::CompleteReading(NodeId node,
                                     const Result<proto::StartReadingDataResponse>& result) {
  const auto replies = std::move(pending_replies_.at(node));
  pending_replies_.erase(node);
  for (const auto& reply : replies) {
    reply(result);
  }
}

Result<proto::GetRecoveryDataResponse> RecoveryReader::GetRecoveryData(
    const proto::GetRecoveryDataRequest& request) {
  const ReplicaKey key{NodeId(request.dead_node_id()), SegmentId(request.segment_id())};
  const Replica* replica = store_.Find(key);
  if (!fences_.IsSynced(key.node) ||
      (replica != nullptr && replica->IsOpen() && replica->IsOffered())) {
    return Status(StatusCode::kConflict, "StartReadingData must be called before GetRecoveryData");
  }
  if (replica == nullptr || !replica->IsOffered()) {
    return Status(StatusCode::kNotFound, "no replica of segment " + key.segment.ToString() +
                                             " of node " + key.node.ToString() +
                                             " is offered here");
  }
  const Result<std::string> bytes = ReadReplica(folder_, *replica);
  if (!bytes.ok()) {
    DropCorrupt(key, bytes.status());
    return bytes.status();
  }
  proto::GetRecoveryDataResponse response;
  const Status filtered = FilterEntries(key.segment, *bytes, request, &response);
  if (!filtered.ok()) {
    DropCorrupt(key, filtered);
    return filtered;
  }
  return response;
}

void RecoveryReader::ReleaseRecoveryData(NodeId node,
                                         Reply<proto::ReleaseRecoveryDataResponse> reply) {
  FenceNode(node, [this, node, reply = std::move(reply)](const Status& status) {
    if (!status.ok()) {
      reply(status);
      return;
    }
    operations_.WhenIdle(node, [this, node, reply] { RemoveAll(node, reply); });
  });
}

void RecoveryReader::RemoveAll(NodeId node, Reply<proto::ReleaseRecoveryDataResponse> reply) {
  const std::vector<ReplicaKey> keys = store_.FindKeys(node);
  if (keys.empty()) {
    reply(proto::ReleaseRecoveryDataResponse());
    return;
  }
  const auto removal = std::make_shared<Removal>(keys.size(), std::move(reply));
  for (const ReplicaKey& key : keys) {
    operations_.Submit(
        key, [this, key]() -> Result<ReplicaChange> { return store_.Remove(key); },
        [removal](const Status& status) { removal->RecordRemoved(status); });
  }
}

void RecoveryReader::DropCorrupt(const ReplicaKey& key, const Status& reason) {
  DropCorruptReplica(environment_, store_, key, CorruptionFoundBy::kRecovery, reason);
}

}  // namespace cloverbank

#include "backup/recovery_reader.h"

#include <utility>

#include "backup/replica_reader.h"
#include "base/logging.h"

namespace cloverbank {

RecoveryReader::RecoveryReader(Environment& environment, DataFolder& folder, SegmentStore& store,
                               ReplicaOperations& operations, FenceFile& fences)
    : environment_(environment),
      folder_(folder),
      store_(store),
      operations_(operations),
      fences_(fences) {}

void RecoveryReader::Fence(NodeId node, DataFolder::Done done) {
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
  const bool under_way = reading_.contains(node);
  reading_[node].push_back(std::move(reply));
  if (under_way) {
    return;
  }
  Fence(node, [this, node](const Status& status) {
    if (!status.ok()) {
      FinishReading(node, status);
      return;
    }
    operations_.WhenIdle(node, [this, node] {
      CheckFrom(node, std::make_shared<std::vector<ReplicaKey>>(store_.KeysOf(node)), 0);
    });
  });
}

void RecoveryReader::CheckFrom(NodeId node, const std::shared_ptr<std::vector<ReplicaKey>>& keys,
                               std::size_t position) {
  while (position < keys->size()) {
    const ReplicaKey key = (*keys)[position];
    ++position;
    const auto next = [this, node, keys, position] { CheckFrom(node, keys, position); };
    if (CheckOne(key, next)) {
      return;
    }
  }
  FinishReading(node, StoredSegments(node));
}

bool RecoveryReader::CheckOne(const ReplicaKey& key, std::function<void()> next) {
  const Replica* replica = store_.Find(key);
  if (replica == nullptr || !replica->offered() || replica->checked) {
    return false;
  }
  const Result<std::string> bytes = ReadReplica(folder_, *replica);
  if (!bytes.ok()) {
    DropCorrupt(key, "recovery", bytes.status());
    return false;
  }
  if (replica->open()) {
    Seal(key, *bytes, std::move(next));
    return true;
  }
  store_.RecordChecked(key, FindLogDigest(key.segment, *bytes));
  // Other calls and timers get their turn between two segments.
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
          // The synced fence refuses late writes as well; what is held may be the last copy.
          store_.Apply(key, store_.Seal(key, length), environment_.Now());
        }
        store_.RecordChecked(key, digest);
        next();
      });
}

proto::StartReadingDataResponse RecoveryReader::StoredSegments(NodeId node) const {
  proto::StartReadingDataResponse response;
  for (const ReplicaKey& key : store_.KeysOf(node)) {
    const Replica* replica = store_.Find(key);
    if (!replica->offered() || !replica->checked) {
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

void RecoveryReader::FinishReading(NodeId node,
                                   const Result<proto::StartReadingDataResponse>& result) {
  const auto replies = std::move(reading_.at(node));
  reading_.erase(node);
  for (const auto& reply : replies) {
    reply(result);
  }
}

Result<proto::GetRecoveryDataResponse> RecoveryReader::GetRecoveryData(
    const proto::GetRecoveryDataRequest& request) {
  const ReplicaKey key{NodeId(request.dead_node_id()), SegmentId(request.segment_id())};
  const Replica* replica = store_.Find(key);
  if (!fences_.IsSynced(key.node) ||
      (replica != nullptr && replica->open() && replica->offered())) {
    return Status(StatusCode::kConflict, "startReadingData has to come first");
  }
  if (replica == nullptr || !replica->offered()) {
    return Status(StatusCode::kNotFound, "no whole copy of this segment here");
  }
  const Result<std::string> bytes = ReadReplica(folder_, *replica);
  if (!bytes.ok()) {
    DropCorrupt(key, "recovery", bytes.status());
    return bytes.status();
  }
  proto::GetRecoveryDataResponse response;
  const Status filtered = FilterEntries(key.segment, *bytes, request, &response);
  if (!filtered.ok()) {
    DropCorrupt(key, "recovery", filtered);
    return filtered;
  }
  return response;
}

void RecoveryReader::ReleaseRecoveryData(NodeId node,
                                         Reply<proto::ReleaseRecoveryDataResponse> reply) {
  Fence(node, [this, node, reply = std::move(reply)](const Status& status) {
    if (!status.ok()) {
      reply(status);
      return;
    }
    operations_.WhenIdle(node, [this, node, reply] { RemoveAll(node, reply); });
  });
}

void RecoveryReader::RemoveAll(NodeId node, Reply<proto::ReleaseRecoveryDataResponse> reply) {
  struct Progress {
    std::size_t left = 0;
    Status first_failure;
    Reply<proto::ReleaseRecoveryDataResponse> reply;
  };
  const std::vector<ReplicaKey> keys = store_.KeysOf(node);
  if (keys.empty()) {
    reply(proto::ReleaseRecoveryDataResponse());
    return;
  }
  const auto progress = std::make_shared<Progress>();
  progress->left = keys.size();
  progress->reply = std::move(reply);
  for (const ReplicaKey& key : keys) {
    operations_.Submit(
        key, [this, key]() -> Result<ReplicaChange> { return store_.Remove(key); },
        [progress](const Status& status) {
          if (!status.ok() && progress->first_failure.ok()) {
            progress->first_failure = status;
          }
          if (--progress->left > 0) {
            return;
          }
          if (progress->first_failure.ok()) {
            progress->reply(proto::ReleaseRecoveryDataResponse());
          } else {
            progress->reply(progress->first_failure);
          }
        });
  }
}

void RecoveryReader::DropCorrupt(const ReplicaKey& key, std::string_view found_by,
                                 const Status& why) {
  store_.SetCorrupt(key);
  environment_.metrics().Increment("backup_corrupt_replicas_total", {{"found_by", found_by}});
  Log(LogLevel::kError, "replica_corrupt",
      {{"file", SegmentFileName(key)}, {"found_by", found_by}, {"reason", why.message()}});
}

}  // namespace cloverbank

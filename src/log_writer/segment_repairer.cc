#include "log_writer/segment_repairer.h"

#include <algorithm>

#include "base/checksum.h"
#include "base/logging.h"

namespace cloverbank {
namespace {

/// Whether a backup refused a call because it has the closed segment already. The detail of its
/// status is the length of the segment then.
bool HasReplicaAlready(const Status& status, std::uint64_t length) {
  return status.code() == StatusCode::kConflict && status.detail() == std::to_string(length);
}

Status CheckContent(const ClosedSegment& segment, const std::string& content) {
  const bool matches = content.size() == segment.length && Checksum(content) == segment.checksum;
  return matches ? Status::Ok()
                 : Status(StatusCode::kCorrupt,
                          "replica has " + std::to_string(content.size()) +
                              " bytes that do not match its segment: expected " +
                              std::to_string(segment.length) + " bytes with checksum " +
                              std::to_string(segment.checksum));
}

}  // namespace

void SegmentRepairer::Add(ClosedSegment segment) {
  const SegmentId id = segment.id;
  segments_[id] = std::move(segment);
}

void SegmentRepairer::Free(SegmentId segment) {
  const auto found = segments_.find(segment);
  if (found == segments_.end()) {
    return;
  }
  for (const ReplicaLocation& location : found->second.locations) {
    FreeReplica(location, segment);
  }
  segments_.erase(found);
}

bool SegmentRepairer::IsLocationOnBackup(const ReplicaLocation& location, NodeId backup) const {
  const proto::Server* server = context_.directory.FindBackup(location);
  return server != nullptr && NodeId(server->node_id()) == backup;
}

std::set<SegmentId> SegmentRepairer::FindSegmentsOn(NodeId backup) const {
  std::set<SegmentId> segments_on_backup;
  for (const auto& [id, segment] : segments_) {
    const bool has_replica = std::any_of(
        segment.locations.begin(), segment.locations.end(),
        [&](const ReplicaLocation& location) { return IsLocationOnBackup(location, backup); });
    if (has_replica) {
      segments_on_backup.insert(id);
    }
  }
  return segments_on_backup;
}

bool SegmentRepairer::IsRepairing(SegmentId segment) const {
  const auto found = segments_.find(segment);
  return found != segments_.end() && found->second.repairing;
}

bool SegmentRepairer::RemoveLocation(SegmentId segment, NodeId backup) {
  const auto found = segments_.find(segment);
  if (found == segments_.end()) {
    return false;
  }
  std::erase_if(found->second.locations, [&](const ReplicaLocation& location) {
    return IsLocationOnBackup(location, backup);
  });
  return true;
}

void SegmentRepairer::FreeReplica(const ReplicaLocation& location, SegmentId segment) {
  if (context_.directory.FindBackup(location) == nullptr) {
    return;
  }
  context_.bulk_client.FreeSegment(context_.directory.GetEndpoint(location), segment,
                                   [](const Status&) {});
}

std::vector<ReplicaLocation> SegmentRepairer::FindLiveLocations(
    const ClosedSegment& segment) const {
  std::vector<ReplicaLocation> live;
  for (const ReplicaLocation& location : segment.locations) {
    if (context_.directory.FindBackup(location) != nullptr) {
      live.push_back(location);
    }
  }
  return live;
}

bool SegmentRepairer::IsDegraded() const {
  return std::any_of(segments_.begin(), segments_.end(), [this](const auto& entry) {
    return FindLiveLocations(entry.second).size() < context_.options.replicas;
  });
}

void SegmentRepairer::Advance() {
  for (auto& [id, segment] : segments_) {
    if (context_.stopped || repairs_in_progress_ >= context_.options.max_parallel_repairs) {
      return;
    }
    if (!segment.repairing) {
      RepairIfNeeded(segment);
    }
  }
}

void SegmentRepairer::RepairIfNeeded(ClosedSegment& segment) {
  const std::vector<ReplicaLocation> live = FindLiveLocations(segment);
  const ReplicaCount count = context_.directory.CountByKind(live);
  const std::size_t replicas = context_.options.replicas;
  if (count.regular + count.spare >= replicas) {
    FreeUnneededReplicas(segment, count.regular >= replicas);
  }
  if (count.regular >= replicas || live.empty()) {
    return;
  }
  // Replicas on retiring backups do not count, so that other backups, spares included, replace
  // them.
  const auto chosen = context_.directory.Select(1, replicas + count.retiring, live, {});
  if (chosen.empty()) {
    return;
  }
  StartRepair(segment, live[context_.environment.Random() % live.size()],
              context_.directory.GetLocation(chosen.front()));
}

void SegmentRepairer::StartRepair(ClosedSegment& segment, const ReplicaLocation& source,
                                  const ReplicaLocation& target) {
  segment.epoch = segment.epoch.Next();
  segment.repairing = true;
  auto repair = std::make_shared<Repair>();
  repair->segment = segment.id;
  repair->source = source;
  repair->target = target;
  repair->epoch = segment.epoch;
  ++repairs_in_progress_;
  Read(repair);
}

void SegmentRepairer::FreeUnneededReplicas(ClosedSegment& segment, bool spares_too) {
  std::erase_if(segment.locations, [&](const ReplicaLocation& location) {
    const proto::Server* server = context_.directory.FindBackup(location);
    const bool needed =
        server != nullptr && AcceptsNewSegments(*server) && !(server->spare() && spares_too);
    if (!needed) {
      FreeReplica(location, segment.id);
    }
    return !needed;
  });
}

BackupClient::Done SegmentRepairer::ContinueWith(const RepairPtr& repair, Step next) {
  return [weak = weak_from_this(), repair, next](const Status& status) {
    const auto self = weak.lock();
    if (self != nullptr && !self->context_.stopped) {
      self->HandleStep(repair, next, status);
    }
  };
}

void SegmentRepairer::HandleStep(const RepairPtr& repair, Step next, const Status& status) {
  if (status.code() == StatusCode::kFenced) {
    context_.on_fenced(FencedBy::kBackupOfRepair, "");
  } else if (status.ok()) {
    (this->*next)(repair);
  } else if (HasReplicaAlready(status, repair->data.size())) {
    CompleteRepair(repair);
  } else {
    FailRepair(repair, repair->target, status);
  }
}

void SegmentRepairer::Read(const RepairPtr& repair) {
  context_.bulk_client.ReadSegment(
      context_.directory.GetEndpoint(repair->source), repair->segment,
      [weak = weak_from_this(), repair](Result<proto::ReadSegmentResponse> result) {
        const auto self = weak.lock();
        if (self != nullptr && !self->context_.stopped) {
          self->HandleRead(repair, std::move(result));
        }
      });
}

void SegmentRepairer::HandleRead(const RepairPtr& repair,
                                 Result<proto::ReadSegmentResponse> result) {
  const auto segment = segments_.find(repair->segment);
  if (segment == segments_.end()) {
    FailRepair(repair, repair->source, result.status());
    return;
  }
  Status status = result.status();
  if (result.ok()) {
    repair->data = std::move(*result->mutable_data());
    status = CheckContent(segment->second, repair->data);
  }
  if (status.ok()) {
    Open(repair);
    return;
  }
  if (status.code() == StatusCode::kCorrupt || status.code() == StatusCode::kNotFound) {
    // The backup does not have the content that was written: its replica no longer counts.
    std::erase_if(segment->second.locations, [&](const ReplicaLocation& location) {
      return location.node == repair->source.node;
    });
  }
  FailRepair(repair, repair->source, status);
}

void SegmentRepairer::Open(const RepairPtr& repair) {
  context_.bulk_client.OpenSegment(context_.directory.GetEndpoint(repair->target), repair->segment,
                                   repair->epoch, context_.options.segment_bytes,
                                   ContinueWith(repair, &SegmentRepairer::Write));
}

void SegmentRepairer::Write(const RepairPtr& repair) {
  SegmentWrite write;
  write.data = repair->data;
  write.atomic_replace = true;
  write.replace_complete = true;
  context_.bulk_client.WriteSegment(context_.directory.GetEndpoint(repair->target), repair->segment,
                                    repair->epoch, std::move(write),
                                    ContinueWith(repair, &SegmentRepairer::Close));
}

void SegmentRepairer::Close(const RepairPtr& repair) {
  context_.bulk_client.CloseSegment(context_.directory.GetEndpoint(repair->target), repair->segment,
                                    repair->data.size(),
                                    ContinueWith(repair, &SegmentRepairer::CompleteRepair));
}

void SegmentRepairer::CompleteRepair(const RepairPtr& repair) {
  --repairs_in_progress_;
  const auto segment = segments_.find(repair->segment);
  if (segment == segments_.end()) {
    FreeReplica(repair->target, repair->segment);  // Freed during the repair.
  } else {
    segment->second.repairing = false;
    segment->second.locations.push_back(repair->target);
    context_.environment.metrics().Increment("queue_segment_repairs_total");
    Log(LogLevel::kInfo, "segment_repaired",
        {{"node", context_.node.value()},
         {"segment", repair->segment.value()},
         {"backup", repair->target.node.value()}});
  }
  Advance();
}

void SegmentRepairer::FailRepair(const RepairPtr& repair, const ReplicaLocation& failed_location,
                                 const Status& status) {
  --repairs_in_progress_;
  context_.environment.metrics().Increment("queue_segment_repair_failures_total",
                                           {{"reason", StatusCodeName(status.code())}});
  Log(LogLevel::kWarning, "segment_repair_failed",
      {{"node", context_.node.value()},
       {"segment", repair->segment.value()},
       {"backup", failed_location.node.value()},
       {"status", status.ToString()}});
  context_.directory.RecordFailure(failed_location.node);
  const auto segment = segments_.find(repair->segment);
  if (segment != segments_.end()) {
    segment->second.repairing = false;
  }
}

}  // namespace cloverbank

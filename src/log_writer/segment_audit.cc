// The comparison of what backups hold with what their owner counts on.

#include <algorithm>

#include "base/logging.h"
#include "log_writer/segment_repairer.h"

namespace cloverbank {
namespace {

constexpr Duration kAuditInterval = seconds(5);

}  // namespace

bool SegmentRepairer::IsAt(const ReplicaLocation& location, NodeId backup) const {
  const proto::Server* server = context_.directory.Current(location);
  return server != nullptr && NodeId(server->node_id()) == backup;
}

std::set<SegmentId> SegmentRepairer::SegmentsOn(NodeId backup) const {
  std::set<SegmentId> held;
  for (const auto& [id, segment] : segments_) {
    const bool holds =
        std::any_of(segment.locations.begin(), segment.locations.end(),
                    [&](const ReplicaLocation& location) { return IsAt(location, backup); });
    if (holds) {
      held.insert(id);
    }
  }
  return held;
}

void SegmentRepairer::Audit(SegmentId head) {
  const TimePoint now = context_.environment.Now();
  for (const auto& [id, server] : context_.agent.fleet().servers) {
    const ReplicaLocation location = context_.directory.FindLocation(id);
    if (!IsAt(location, id) || now < next_audit_[id]) {
      continue;
    }
    next_audit_[id] = now + kAuditInterval;
    context_.client.ListSegments(
        location.endpoint, [weak = weak_from_this(), backup = id, head, expected = SegmentsOn(id)](
                               const Result<proto::ListSegmentsResponse>& listed) {
          const auto self = weak.lock();
          if (self != nullptr && !self->context_.stopped && listed.ok()) {
            self->HandleAudit(backup, head, expected, *listed);
          }
        });
  }
  std::erase_if(next_audit_, [this](const auto& audit) {
    return !context_.agent.fleet().servers.contains(audit.first);
  });
}

void SegmentRepairer::HandleAudit(NodeId backup, SegmentId head,
                                  const std::set<SegmentId>& expected,
                                  const proto::ListSegmentsResponse& listed) {
  if (!context_.agent.fleet().servers.contains(backup)) {
    return;  // Gone meanwhile.
  }
  std::set<SegmentId> found;
  for (const proto::SegmentReplicaKey& key : listed.replicas()) {
    if (NodeId(key.node_id()) == context_.node) {
      found.insert(SegmentId(key.segment_id()));
    }
  }
  RecordLostReplicas(backup, expected, found);
  FreeLeftoverReplicas(backup, head, found);
}

void SegmentRepairer::RecordLostReplicas(NodeId backup, const std::set<SegmentId>& expected,
                                         const std::set<SegmentId>& found) {
  for (const SegmentId id : expected) {
    const auto segment = segments_.find(id);
    if (segment == segments_.end() || found.contains(id)) {
      continue;
    }
    std::erase_if(segment->second.locations,
                  [&](const ReplicaLocation& location) { return IsAt(location, backup); });
    context_.environment.metrics().Increment("queue_replicas_lost_total");
    Log(LogLevel::kWarning, "replica_lost",
        {{"node", context_.node.value()}, {"segment", id.value()}, {"backup", backup.value()}});
  }
}

void SegmentRepairer::FreeLeftoverReplicas(NodeId backup, SegmentId head,
                                           const std::set<SegmentId>& found) {
  // Closed before the question was sent, so nothing of them is under way but repairs.
  const std::set<SegmentId> held = SegmentsOn(backup);
  for (const SegmentId id : found) {
    const auto segment = segments_.find(id);
    const bool repairing = segment != segments_.end() && segment->second.repairing;
    if (id < head && !held.contains(id) && !repairing) {
      context_.environment.metrics().Increment("queue_leftover_replicas_freed_total");
      FreeAt(context_.directory.FindLocation(backup), id);
    }
  }
}

}  // namespace cloverbank

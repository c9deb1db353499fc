#include "log_writer/segment_audit.h"

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Time between two ListSegments calls to one backup.
constexpr Duration kAuditInterval = seconds(5);

}  // namespace

void SegmentAudit::Advance(SegmentId head) {
  const TimePoint now = context_.environment.Now();
  for (const auto& [id, server] : context_.agent.fleet().servers) {
    const ReplicaLocation location = context_.directory.GetLocation(id);
    if (!repairer_->IsLocationOnBackup(location, id) || now < next_audit_[id]) {
      continue;
    }
    next_audit_[id] = now + kAuditInterval;
    context_.client.ListSegments(
        location.endpoint,
        [weak = weak_from_this(), backup = id, head, expected = repairer_->FindSegmentsOn(id)](
            const Result<proto::ListSegmentsResponse>& listed) {
          const auto self = weak.lock();
          if (self != nullptr && !self->context_.stopped && listed.ok()) {
            self->HandleAnswer(backup, head, expected, *listed);
          }
        });
  }
  std::erase_if(next_audit_, [this](const auto& audit) {
    return !context_.agent.fleet().servers.contains(audit.first);
  });
}

void SegmentAudit::HandleAnswer(NodeId backup, SegmentId head, const std::set<SegmentId>& expected,
                                const proto::ListSegmentsResponse& listed) {
  if (!context_.agent.fleet().servers.contains(backup)) {
    return;  // It left the fleet since the request.
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

void SegmentAudit::RecordLostReplicas(NodeId backup, const std::set<SegmentId>& expected,
                                      const std::set<SegmentId>& found) {
  for (const SegmentId id : expected) {
    if (found.contains(id) || !repairer_->RemoveLocation(id, backup)) {
      continue;
    }
    context_.environment.metrics().Increment("queue_replicas_lost_total");
    Log(LogLevel::kWarning, "replica_lost",
        {{"node", context_.node.value()}, {"segment", id.value()}, {"backup", backup.value()}});
  }
}

void SegmentAudit::FreeLeftoverReplicas(NodeId backup, SegmentId head,
                                        const std::set<SegmentId>& found) {
  // Segments before `head` were closed before the request, so that only a repair can be writing an
  // uncounted replica of them.
  const std::set<SegmentId> counted = repairer_->FindSegmentsOn(backup);
  for (const SegmentId id : found) {
    if (id < head && !counted.contains(id) && !repairer_->IsRepairing(id)) {
      context_.environment.metrics().Increment("queue_leftover_replicas_freed_total");
      repairer_->FreeReplica(context_.directory.GetLocation(backup), id);
    }
  }
}

}  // namespace cloverbank

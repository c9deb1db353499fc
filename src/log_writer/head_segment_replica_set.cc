// The set of backups of a head segment: choice of further backups, change to a new set under
// the next epoch, and its commit at the coordinators.

#include <algorithm>

#include "base/logging.h"
#include "log_writer/head_segment.h"

namespace cloverbank {

bool HeadSegment::IsReady(const Replica& replica) const {
  // While appends go on, a candidate never has all of the content. It receives the rest after the
  // change of the set, while no append is acknowledged.
  return replica.epoch.valid() &&
         replica.synced + context_.options.write_bytes >= content_.length();
}

bool HeadSegment::HasUnreadyCandidates() const {
  return std::any_of(replicas_.begin(), replicas_.end(), [this](const Replica& replica) {
    return !replica.member && !IsReady(replica);
  });
}

void HeadSegment::AddCandidates() {
  if (IsClosed()) {
    return;
  }
  std::vector<ReplicaLocation> locations;
  std::vector<ReplicaLocation> excluded;
  for (const Replica& replica : replicas_) {
    (IsLost(replica) ? excluded : locations).push_back(replica.location);
  }
  const std::size_t wanted = context_.options.replicas;
  if (locations.size() >= wanted) {
    return;
  }
  const auto chosen =
      context_.directory.Select(wanted - locations.size(), wanted, locations, excluded);
  for (const NodeId node : chosen) {
    Replica replica;
    replica.number = ++last_replica_number_;
    replica.location = context_.directory.GetLocation(node);
    replicas_.push_back(std::move(replica));
  }
  if (locations.size() + chosen.size() < wanted) {
    ScheduleAdvance();
  }
}

void HeadSegment::DropCandidates(const std::function<bool(const Replica&)>& keep) {
  std::erase_if(replicas_, [&](const Replica& replica) {
    if (replica.member || keep(replica)) {
      return false;
    }
    // A backup refuses to open the segment again under the epoch of the replica that was freed.
    open_epoch_ = std::max(open_epoch_, replica.epoch.Next());
    if (context_.directory.FindBackup(replica.location) == nullptr) {
      return true;  // A backup with another disk may be at this endpoint now.
    }
    context_.client.FreeSegment(context_.directory.GetEndpoint(replica.location), id_,
                                [](const Status&) {});
    return true;
  });
}

HeadSegment::ProposedReplicaSet HeadSegment::ProposeReplicaSet() const {
  ProposedReplicaSet proposed;
  for (const Replica& replica : replicas_) {
    const bool joins = !replica.member && IsReady(replica);
    const bool leaves = replica.member && IsLost(replica);
    proposed.size += joins || (replica.member && !leaves) ? 1 : 0;
    proposed.differs = proposed.differs || joins || leaves;
  }
  return proposed;
}

void HeadSegment::UpdateReplicaSet() {
  if (closing_) {
    // The content is final: candidates become additional closed replicas without a new set.
    return;
  }
  if (IsFullyReplicated()) {
    DropCandidates([](const Replica&) { return false; });
    return;
  }
  const ProposedReplicaSet proposed = ProposeReplicaSet();
  const bool large_enough =
      proposed.size >= context_.options.replicas ||
      (proposed.size >= context_.options.minimum_replicas && !HasUnreadyCandidates());
  if (!proposed.differs || !large_enough) {
    return;
  }
  if (proposed.size < context_.options.replicas) {
    // Before the change to a set with too few replicas, try once more to find further backups.
    const std::size_t old_count = replicas_.size();
    AddCandidates();
    if (replicas_.size() > old_count) {
      return;
    }
  }
  ApplyProposedReplicaSet();
}

void HeadSegment::ApplyProposedReplicaSet() {
  DropCandidates([this](const Replica& replica) { return IsReady(replica); });
  std::erase_if(replicas_,
                [this](const Replica& replica) { return replica.member && IsLost(replica); });
  epoch_ = open_epoch_;
  open_epoch_ = epoch_.Next();
  for (Replica& replica : replicas_) {
    replica.member = true;
  }
  Log(LogLevel::kInfo, "segment_backups_changed",
      {{"node", context_.node.value()},
       {"segment", id_.value()},
       {"epoch", epoch_.value()},
       {"copies", replicas_.size()}});
  context_.environment.metrics().Increment("queue_segment_epochs_total");
}

void HeadSegment::CommitIfReady() {
  if (!commit_allowed_ || commit_in_progress_ || closing_ || !epoch_.valid() || IsSetCommitted() ||
      !AreMembersUpToDate()) {
    return;
  }
  commit_in_progress_ = true;
  context_.agent.CallLeader<proto::CommitHeadResponse>(
      "coordinator.CommitHead", PrepareCommitRequest(), context_.options.commit_deadline,
      [weak = weak_from_this(), epoch = epoch_](const Result<proto::CommitHeadResponse>& result) {
        if (const auto self = weak.lock()) {
          self->HandleCommit(epoch, result.status());
        }
      });
}

const proto::CommitHeadRequest& HeadSegment::PrepareCommitRequest() {
  proto::LogHead& head = *commit_request_.mutable_head();
  if (head.epoch() == epoch_.value()) {
    // The coordinators may have committed an earlier attempt: a backup that has restarted since
    // then keeps its old node id in the request.
    return commit_request_;
  }
  head.Clear();
  head.set_node_id(context_.node.value());
  head.set_segment_id(id_.value());
  head.set_epoch(epoch_.value());
  for (const Replica& replica : replicas_) {
    if (replica.member) {
      head.add_backups(context_.directory.GetCurrentNode(replica.location).value());
    }
  }
  return commit_request_;
}

void HeadSegment::HandleCommit(HeadEpoch epoch, const Status& status) {
  commit_in_progress_ = false;
  if (context_.stopped) {
    return;
  }
  if (status.code() == StatusCode::kFenced) {
    context_.on_fenced(FencedBy::kCoordinators, status.message());
    return;
  }
  if (!status.ok()) {
    Log(LogLevel::kWarning, "commit_head_failed",
        {{"node", context_.node.value()},
         {"segment", id_.value()},
         {"epoch", epoch.value()},
         {"status", status.ToString()}});
    ScheduleAdvance();
    return;
  }
  committed_epoch_ = epoch;
  Advance();
  on_progress_();
}

}  // namespace cloverbank

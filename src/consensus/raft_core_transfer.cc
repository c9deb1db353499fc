// Leadership transfer: Ongaro's dissertation, 3.10.
//
// In a transfer, members vote even if they have recently heard this leader, which breaks the
// assumption of its lease. So the lease ends before TimeoutNow is sent, and from then on this
// leader steps down whatever the outcome.
#include "consensus/endpoint_proto.h"
#include "consensus/raft_core.h"

namespace cloverbank {

Status RaftCore::TransferLeadership(TimePoint now) {
  if (!IsReadyLeader()) {
    return {StatusCode::kNotLeader, "this member does not lead the group"};
  }
  if (transfer_target_ != 0) {
    return Status::Ok();
  }
  std::uint64_t best_match = 0;
  for (const auto& [id, peer] : peers_) {
    if (IsVoter(id) && IsResponsive(now, id) && peer.match_index >= best_match) {
      best_match = peer.match_index;
      transfer_target_ = id;
    }
  }
  if (transfer_target_ == 0) {
    return {StatusCode::kUnavailable,
            "no other voter has answered recently enough to become leader"};
  }
  transfer_deadline_ = now + options_.maximum_election_timeout;
  AdvanceTransfer(now);
  return Status::Ok();
}

void RaftCore::AdvanceTransfer(TimePoint now) {
  if (role_ != RaftRole::kLeader || transfer_target_ == 0) {
    return;
  }
  const auto target = peers_.find(transfer_target_);
  if (now >= transfer_deadline_ || target == peers_.end()) {
    RecordRefusal(RaftRefusal::kTransferFailed);
    transfer_target_ = 0;
    if (transfer_sent_) {
      BecomeFollower(now, term(), 0);
    }
    return;  // If TimeoutNow has not been sent, this member stays leader.
  }
  if (transfer_sent_ || target->second.match_index < log_.last_index()) {
    return;
  }
  transfer_sent_ = true;
  proto::TimeoutNowRequest request;
  request.set_term(term());
  request.set_leader_id(member_id());
  request.set_cluster_id(cluster_id());
  request.set_recipient_id(transfer_target_);
  effects_.messages.push_back(
      {transfer_target_, ToEndpoint(target->second.member.endpoint()), std::move(request)});
}

void RaftCore::HandleTimeoutNow(TimePoint now, const proto::TimeoutNowRequest& request) {
  const bool from_leader = request.term() == term() && request.leader_id() == leader_id_;
  if (role_ == RaftRole::kFollower && from_leader && writable_ && IsVoter(member_id())) {
    leader_id_ = 0;
    StartElection(now, true);
  } else {
    RecordRefusal(RaftRefusal::kTransferStale);
  }
}

}  // namespace cloverbank

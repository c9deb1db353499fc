// Elections: Raft sections 5.2 and 5.4.1; pre-vote and check quorum: Ongaro's dissertation, 9.6
// and 6.2.
#include "consensus/endpoint_proto.h"
#include "consensus/raft_core.h"

namespace cloverbank {

void RaftCore::StartPreVote(TimePoint now) {
  leader_id_ = 0;
  if (!IsVoter(member_id())) {
    BecomeFollower(now, term(), 0);
    ResetElectionTimer(now, options_.minimum_election_timeout, options_.maximum_election_timeout);
    return;
  }
  role_ = RaftRole::kPreCandidate;
  votes_.clear();
  // A refused pre-vote does not disrupt the group, so it is repeated soon: the other members may
  // have heard the leader only slightly later than this one.
  ResetElectionTimer(now, options_.heartbeat_interval, 2 * options_.heartbeat_interval);
  SendVoteRequests();
  CountVote(now, member_id());
}

void RaftCore::StartElection(TimePoint now, bool transfer) {
  elected_by_transfer_ = transfer;
  role_ = RaftRole::kCandidate;
  votes_.clear();
  vote_requests_sent_ = false;
  metadata_.set_current_term(term() + 1);
  metadata_.set_voted_for(member_id());
  WriteMetadata();
  vote_write_ = last_metadata_write_;  // HandlePersisted sends the requests.
  ResetElectionTimer(now, options_.minimum_election_timeout / 2,
                     options_.maximum_election_timeout / 2);
}

void RaftCore::SendVoteRequests() {
  const bool pre_vote = role_ == RaftRole::kPreCandidate;
  for (const proto::RaftMember& member : configuration().members()) {
    if (member.learner() || member.member_id() == member_id()) {
      continue;
    }
    proto::RequestVoteRequest request;
    request.set_term(pre_vote ? term() + 1 : term());
    request.set_candidate_id(member_id());
    request.set_last_log_index(log_.last_index());
    request.set_last_log_term(log_.last_term());
    request.set_pre_vote(pre_vote);
    request.set_leadership_transfer(!pre_vote && elected_by_transfer_);
    request.set_cluster_id(cluster_id());
    request.set_recipient_id(member.member_id());
    effects_.messages.push_back(
        {member.member_id(), ToEndpoint(member.endpoint()), std::move(request)});
  }
}

void RaftCore::CountVote(TimePoint now, std::uint64_t voter_id) {
  if (!IsVoter(voter_id)) {
    return;
  }
  votes_.insert(voter_id);
  if (votes_.size() < Majority()) {
    return;
  }
  if (role_ == RaftRole::kPreCandidate) {
    StartElection(now, false);
  } else {
    BecomeLeader(now);
  }
}

void RaftCore::BecomeLeader(TimePoint now) {
  role_ = RaftRole::kLeader;
  leader_id_ = member_id();
  term_started_ = now;
  transfer_target_ = 0;
  transfer_sent_ = false;
  peers_.clear();
  RebuildPeers(now);
  proto::RaftEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  entry.mutable_no_op();
  AppendToLog(std::move(entry));
  term_start_index_ = log_.last_index();
  next_wakeup_ = now;
  TickLeader(now);
}

bool RaftCore::MustWithholdVote(TimePoint now) const {
  if (role_ == RaftRole::kLeader) {
    return now < LastQuorumContact(now, true) + options_.minimum_election_timeout;
  }
  return now < withhold_votes_until_;
}

bool RaftCore::IsUpToDate(const proto::RequestVoteRequest& request) const {
  if (request.last_log_term() != log_.last_term()) {
    return request.last_log_term() > log_.last_term();
  }
  return request.last_log_index() >= log_.last_index();
}

bool RaftCore::IsVoteAllowed(TimePoint now, const proto::RequestVoteRequest& request) {
  if (request.term() < term() || (request.pre_vote() && request.term() == term())) {
    RecordRefusal(RaftRefusal::kVoteStaleTerm);
    return false;
  }
  if (!request.leadership_transfer() && MustWithholdVote(now)) {
    RecordRefusal(RaftRefusal::kVoteLeaderAlive);
    return false;
  }
  if (!request.pre_vote() && request.term() > term()) {
    BecomeFollower(now, request.term(), 0);
  }
  const std::uint64_t voted_for = metadata_.voted_for();
  if (!request.pre_vote() && voted_for != 0 && voted_for != request.candidate_id()) {
    RecordRefusal(RaftRefusal::kVoteGivenToAnother);
    return false;
  }
  if (!IsUpToDate(request)) {
    RecordRefusal(RaftRefusal::kVoteLogBehind);
    return false;
  }
  return true;
}

void RaftCore::HandleRequestVote(TimePoint now, const proto::RequestVoteRequest& request,
                                 RaftReplyToken token) {
  proto::RequestVoteResponse response;
  response.set_granted(IsVoteAllowed(now, request));
  if (response.granted() && !request.pre_vote()) {
    if (metadata_.voted_for() != request.candidate_id()) {
      metadata_.set_voted_for(request.candidate_id());
      WriteMetadata();
    }
    ResetElectionTimer(now, options_.minimum_election_timeout, options_.maximum_election_timeout);
  }
  response.set_term(term());
  response.set_voter_id(member_id());
  Reply({token, std::move(response)}, last_metadata_write_);
}

void RaftCore::HandleRequestVoteResponse(TimePoint now, const proto::RequestVoteRequest& request,
                                         const proto::RequestVoteResponse& response) {
  if (response.term() > term()) {
    BecomeFollower(now, response.term(), 0);
    return;
  }
  const bool granted_by_recipient =
      response.granted() && response.voter_id() == request.recipient_id();
  const bool pre_vote_pending = role_ == RaftRole::kPreCandidate && request.term() == term() + 1;
  const bool vote_pending = role_ == RaftRole::kCandidate && request.term() == term();
  if (granted_by_recipient && (request.pre_vote() ? pre_vote_pending : vote_pending)) {
    CountVote(now, response.voter_id());
  }
}

bool RaftCore::HasLeaderLease(TimePoint now) const {
  if (!IsReadyLeader() || transfer_sent_) {
    return false;
  }
  const Duration lease =
      options_.minimum_election_timeout * (100 - options_.lease_margin_percent) / 100;
  return now < LastQuorumContact(now, false) + lease;
}

bool RaftCore::IsReadyLeader() const {
  return role_ == RaftRole::kLeader && commit_index_ >= term_start_index_;
}

}  // namespace cloverbank

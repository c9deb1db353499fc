// Raft's own messages over peer calls.
#include <utility>

#include "consensus/raft_node.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr std::string_view kRequestVote = "raft.RequestVote";
constexpr std::string_view kAppendEntries = "raft.AppendEntries";
constexpr std::string_view kInstallSnapshot = "raft.InstallSnapshot";
constexpr std::string_view kTimeoutNow = "raft.TimeoutNow";

/// Deadline of messages with data, in election timeouts: the receiver syncs before it answers.
constexpr int kDataDeadlineElectionTimeouts = 4;

}  // namespace

Status RaftNode::Admit(std::uint64_t sender, std::uint64_t cluster_id, std::uint64_t recipient_id) {
  if (stopped_ || !identity_durable_) {
    return {StatusCode::kUnavailable, "this member does not take part"};
  }
  if (core_->IsEmpty() && directory_.IsSuperseded(sender)) {
    RecordRefusal(RaftRefusal::kSupersededSender);
    return {StatusCode::kConflict, "the sender's disk has been emptied since"};
  }
  return core_->AdmitSender(cluster_id, recipient_id);
}

template <typename Request, typename Response>
void RaftNode::ServeRaftMethod(std::string_view method, std::uint64_t (Request::*sender_id)() const,
                               void (RaftCore::*handle)(TimePoint, const Request&,
                                                        RaftReplyToken)) {
  ServePeer<Request, Response>(
      environment_, method,
      [this, sender_id, handle](const Request& request, const std::string&,
                                std::function<void(Result<Response>)> reply) {
        if (Status status =
                Admit((request.*sender_id)(), request.cluster_id(), request.recipient_id());
            !status.ok()) {
          Drain();
          reply(std::move(status));
          return;
        }
        const RaftReplyToken token = ++last_token_;
        waiting_replies_[token] = [reply = std::move(reply)](const RaftReply* answer) {
          if (answer == nullptr) {
            reply(Status(StatusCode::kUnavailable, "this member has stopped"));
          } else {
            reply(std::get<Response>(answer->response));
          }
        };
        (core_.get()->*handle)(environment_.Now(), request, token);
        Drain();
      });
}

void RaftNode::ServePeers() {
  ServeRaftMethod<proto::RequestVoteRequest, proto::RequestVoteResponse>(
      kRequestVote, &proto::RequestVoteRequest::candidate_id, &RaftCore::HandleRequestVote);
  ServeRaftMethod<proto::AppendEntriesRequest, proto::AppendEntriesResponse>(
      kAppendEntries, &proto::AppendEntriesRequest::leader_id, &RaftCore::HandleAppendEntries);
  ServeRaftMethod<proto::InstallSnapshotRequest, proto::InstallSnapshotResponse>(
      kInstallSnapshot, &proto::InstallSnapshotRequest::leader_id,
      &RaftCore::HandleInstallSnapshot);
  ServePeer<proto::TimeoutNowRequest, proto::TimeoutNowResponse>(
      environment_, kTimeoutNow,
      [this](const proto::TimeoutNowRequest& request, const std::string&,
             const std::function<void(Result<proto::TimeoutNowResponse>)>& reply) {
        Status status = Admit(request.leader_id(), request.cluster_id(), request.recipient_id());
        if (status.ok()) {
          core_->HandleTimeoutNow(environment_.Now(), request);
        }
        Drain();
        reply(status.ok() ? Result<proto::TimeoutNowResponse>(proto::TimeoutNowResponse())
                          : Result<proto::TimeoutNowResponse>(std::move(status)));
      });
}

void RaftNode::SendReply(const RaftReply& reply) {
  const auto found = waiting_replies_.find(reply.token);
  if (found == waiting_replies_.end()) {
    return;
  }
  const Reply send = std::move(found->second);
  waiting_replies_.erase(found);
  send(&reply);
}

void RaftNode::Send(RaftMessage& message) {
  std::visit([this, &message](const auto& request) { SendRequest(message, request); },
             message.request);
}

void RaftNode::SendRequest(const RaftMessage& message, const proto::RequestVoteRequest& request) {
  CallPeer<proto::RequestVoteResponse>(
      environment_, message.endpoint, kRequestVote, request, options_.election_timeout,
      [this, alive = std::weak_ptr<bool>(alive_),
       request](const Result<proto::RequestVoteResponse>& response) {
        if (!alive.expired() && !stopped_ && response.ok()) {
          core_->HandleRequestVoteResponse(environment_.Now(), request, *response);
          Drain();
        }
      });
}

void RaftNode::SendRequest(const RaftMessage& message, const proto::AppendEntriesRequest& request) {
  // A late answer to a heartbeat is worth nothing; one to entries still tells that they arrived.
  const Duration deadline = request.entries().empty()
                                ? options_.election_timeout
                                : kDataDeadlineElectionTimeouts * options_.election_timeout;
  CallPeer<proto::AppendEntriesResponse>(
      environment_, message.endpoint, kAppendEntries, request, deadline,
      [this, alive = std::weak_ptr<bool>(alive_), member = message.member_id,
       sequence = request.sequence()](const Result<proto::AppendEntriesResponse>& response) {
        if (alive.expired() || stopped_) {
          return;
        }
        if (!response.ok()) {
          OnCallFailed(member, sequence);
          return;
        }
        core_->HandleAppendEntriesResponse(environment_.Now(), *response);
        Drain();
      });
}

void RaftNode::SendRequest(const RaftMessage& message,
                           const proto::InstallSnapshotRequest& request) {
  CallPeer<proto::InstallSnapshotResponse>(
      environment_, message.endpoint, kInstallSnapshot, request,
      kDataDeadlineElectionTimeouts * options_.election_timeout,
      [this, alive = std::weak_ptr<bool>(alive_), member = message.member_id,
       sequence = request.sequence()](const Result<proto::InstallSnapshotResponse>& response) {
        if (alive.expired() || stopped_) {
          return;
        }
        if (!response.ok()) {
          OnCallFailed(member, sequence);
          return;
        }
        core_->HandleInstallSnapshotResponse(environment_.Now(), *response);
        Drain();
      });
}

void RaftNode::SendRequest(const RaftMessage& message, const proto::TimeoutNowRequest& request) {
  // Nothing rests on the answer: the leader waits for the new term, and not for ever.
  CallPeer<proto::TimeoutNowResponse>(environment_, message.endpoint, kTimeoutNow, request,
                                      options_.election_timeout,
                                      [](const Result<proto::TimeoutNowResponse>&) {});
}

void RaftNode::OnCallFailed(std::uint64_t member_id, std::uint64_t sequence) {
  environment_.metrics().Increment("raft_failed_calls_total");
  core_->HandleCallFailed(member_id, sequence);
  Drain();
}

}  // namespace cloverbank

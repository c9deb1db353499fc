#include "consensus/raft_transport.h"

#include <string>
#include <utility>

#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr std::string_view kRequestVote = "raft.RequestVote";
constexpr std::string_view kAppendEntries = "raft.AppendEntries";
constexpr std::string_view kInstallSnapshot = "raft.InstallSnapshot";
constexpr std::string_view kTimeoutNow = "raft.TimeoutNow";

/// Deadline of messages with data, in election timeouts. It is long because the receiver syncs
/// before it answers.
constexpr int kDataDeadlineElectionTimeouts = 4;

}  // namespace

void RaftTransport::Serve() {
  ServeRequest<proto::RequestVoteRequest, proto::RequestVoteResponse>(
      kRequestVote, &proto::RequestVoteRequest::candidate_id, &RaftCore::HandleRequestVote);
  ServeRequest<proto::AppendEntriesRequest, proto::AppendEntriesResponse>(
      kAppendEntries, &proto::AppendEntriesRequest::leader_id, &RaftCore::HandleAppendEntries);
  ServeRequest<proto::InstallSnapshotRequest, proto::InstallSnapshotResponse>(
      kInstallSnapshot, &proto::InstallSnapshotRequest::leader_id,
      &RaftCore::HandleInstallSnapshot);
  ServePeer<proto::TimeoutNowRequest, proto::TimeoutNowResponse>(
      context_.environment, kTimeoutNow,
      [this](const proto::TimeoutNowRequest& request, const std::string&,
             const std::function<void(Result<proto::TimeoutNowResponse>)>& reply) {
        reply(HandleTimeoutNow(request));
      });
}

template <typename Request, typename Response>
void RaftTransport::ServeRequest(std::string_view method,
                                 std::uint64_t (Request::*sender_id)() const,
                                 CoreRequestHandler<Request> handle) {
  ServePeer<Request, Response>(
      context_.environment, method,
      [this, sender_id, handle](const Request& request, const std::string&,
                                std::function<void(Result<Response>)> reply) {
        if (Status status =
                AdmitSender((request.*sender_id)(), request.cluster_id(), request.recipient_id());
            !status.ok()) {
          context_.execute_effects();
          reply(std::move(status));
          return;
        }
        const RaftReplyToken token = ++last_token_;
        pending_replies_[token] = [reply = std::move(reply)](const RaftReply* core_reply) {
          if (core_reply == nullptr) {
            reply(Status(StatusCode::kUnavailable, "this member has stopped"));
          } else {
            reply(std::get<Response>(core_reply->response));
          }
        };
        (context_.core.get()->*handle)(context_.environment.Now(), request, token);
        context_.execute_effects();
      });
}

Result<proto::TimeoutNowResponse> RaftTransport::HandleTimeoutNow(
    const proto::TimeoutNowRequest& request) {
  Status status = AdmitSender(request.leader_id(), request.cluster_id(), request.recipient_id());
  if (status.ok()) {
    context_.core->HandleTimeoutNow(context_.environment.Now(), request);
  }
  context_.execute_effects();
  if (!status.ok()) {
    return status;
  }
  return proto::TimeoutNowResponse();
}

Status RaftTransport::AdmitSender(std::uint64_t sender, std::uint64_t cluster_id,
                                  std::uint64_t recipient_id) {
  if (!context_.CanAnswerPeers()) {
    return {StatusCode::kUnavailable,
            "this member has stopped, or its id is not yet synced to disk"};
  }
  if (context_.core->IsEmpty() && directory_.IsSuperseded(sender)) {
    context_.RecordRefusal(RaftRefusal::kSupersededSender);
    return {StatusCode::kConflict, "the sender, member " + std::to_string(sender) +
                                       ", has been superseded by another at its endpoint"};
  }
  return context_.core->AdmitSender(cluster_id, recipient_id);
}

void RaftTransport::SendReply(const RaftReply& reply) {
  const auto found = pending_replies_.find(reply.token);
  if (found == pending_replies_.end()) {
    return;
  }
  const ReplySender send = std::move(found->second);
  pending_replies_.erase(found);
  send(&reply);
}

void RaftTransport::FailPendingReplies() {
  auto pending = std::exchange(pending_replies_, {});
  for (auto& [token, send] : pending) {
    send(nullptr);
  }
}

void RaftTransport::Send(const RaftMessage& message) {
  std::visit([this, &message](const auto& request) { SendRequest(message, request); },
             message.request);
}

void RaftTransport::SendRequest(const RaftMessage& message,
                                const proto::RequestVoteRequest& request) {
  CallPeer<proto::RequestVoteResponse>(
      context_.environment, message.endpoint, kRequestVote, request,
      context_.options.election_timeout,
      [this, alive = std::weak_ptr<bool>(alive_),
       request](const Result<proto::RequestVoteResponse>& response) {
        if (!alive.expired() && !context_.stopped && response.ok()) {
          context_.core->HandleRequestVoteResponse(context_.environment.Now(), request, *response);
          context_.execute_effects();
        }
      });
}

void RaftTransport::SendRequest(const RaftMessage& message,
                                const proto::AppendEntriesRequest& request) {
  // A late response to a heartbeat is useless, while a late one to entries still confirms them.
  const Duration timeout = context_.options.election_timeout;
  const Duration deadline =
      request.entries().empty() ? timeout : kDataDeadlineElectionTimeouts * timeout;
  SendLeaderRequest(message, kAppendEntries, request, deadline,
                    &RaftCore::HandleAppendEntriesResponse);
}

void RaftTransport::SendRequest(const RaftMessage& message,
                                const proto::InstallSnapshotRequest& request) {
  SendLeaderRequest(message, kInstallSnapshot, request,
                    kDataDeadlineElectionTimeouts * context_.options.election_timeout,
                    &RaftCore::HandleInstallSnapshotResponse);
}

void RaftTransport::SendRequest(const RaftMessage& message,
                                const proto::TimeoutNowRequest& request) {
  // The response is not needed: the leader waits for a message of the new term, up to a deadline.
  CallPeer<proto::TimeoutNowResponse>(context_.environment, message.endpoint, kTimeoutNow, request,
                                      context_.options.election_timeout,
                                      [](const Result<proto::TimeoutNowResponse>&) {});
}

template <typename Request, typename Response>
void RaftTransport::SendLeaderRequest(const RaftMessage& message, std::string_view method,
                                      const Request& request, Duration deadline,
                                      CoreResponseHandler<Response> handle) {
  CallPeer<Response>(context_.environment, message.endpoint, method, request, deadline,
                     [this, alive = std::weak_ptr<bool>(alive_), member = message.member_id,
                      sequence = request.sequence(), handle](const Result<Response>& response) {
                       if (alive.expired() || context_.stopped) {
                         return;
                       }
                       if (!response.ok()) {
                         HandleCallFailed(member, sequence);
                         return;
                       }
                       (context_.core.get()->*handle)(context_.environment.Now(), *response);
                       context_.execute_effects();
                     });
}

void RaftTransport::HandleCallFailed(std::uint64_t member_id, std::uint64_t sequence) {
  context_.environment.metrics().Increment("raft_failed_calls_total");
  context_.core->HandleCallFailed(member_id, sequence);
  context_.execute_effects();
}

}  // namespace cloverbank

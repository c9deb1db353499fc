#pragma once
/// @file
/// Carries Raft's messages over peer calls: passes requests of other members to the core, and sends
/// the core's requests and replies. Threads: the environment's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "consensus/raft_formation.h"
#include "consensus/raft_node_context.h"

namespace cloverbank {

class RaftTransport {
 public:
  /// `context` and `directory` must outlive this object.
  RaftTransport(RaftNodeContext& context, const MemberDirectory& directory)
      : context_(context), directory_(directory) {}

  /// Registers the peer methods. This object must live as long as the environment can call them.
  void Serve();
  /// Sends a request, and passes its response or its failure to the core.
  void Send(const RaftMessage& message);
  /// Answers the request that the core got with the reply's token.
  void SendReply(const RaftReply& reply);
  /// Replies kUnavailable to all requests that the core has not answered, because this member has
  /// stopped.
  void FailPendingReplies();

 private:
  /// Called with the core's reply; null if the member stopped before it.
  using ReplySender = std::function<void(const RaftReply*)>;
  template <typename Request>
  using CoreRequestHandler = void (RaftCore::*)(TimePoint, const Request&, RaftReplyToken);
  template <typename Response>
  using CoreResponseHandler = void (RaftCore::*)(TimePoint, const Response&);

  template <typename Request, typename Response>
  void ServeRequest(std::string_view method, std::uint64_t (Request::*sender_id)() const,
                    CoreRequestHandler<Request> handle);
  Result<proto::TimeoutNowResponse> HandleTimeoutNow(const proto::TimeoutNowRequest& request);
  /// Checks that a request of `sender` is meant for this member and may be handled.
  Status AdmitSender(std::uint64_t sender, std::uint64_t cluster_id, std::uint64_t recipient_id);

  void SendRequest(const RaftMessage& message, const proto::RequestVoteRequest& request);
  void SendRequest(const RaftMessage& message, const proto::AppendEntriesRequest& request);
  void SendRequest(const RaftMessage& message, const proto::InstallSnapshotRequest& request);
  void SendRequest(const RaftMessage& message, const proto::TimeoutNowRequest& request);
  /// Sends a request of the leader, and passes its response or its failure to the core.
  template <typename Request, typename Response>
  void SendLeaderRequest(const RaftMessage& message, std::string_view method,
                         const Request& request, Duration deadline,
                         CoreResponseHandler<Response> handle);
  void HandleCallFailed(std::uint64_t member_id, std::uint64_t sequence);

  RaftNodeContext& context_;
  const MemberDirectory& directory_;
  RaftReplyToken last_token_ = 0;
  std::unordered_map<RaftReplyToken, ReplySender> pending_replies_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

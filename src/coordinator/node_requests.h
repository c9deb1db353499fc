#pragma once
/// @file
/// Requests of nodes other than heartbeats: registration, log heads and finished replays. Each
/// proposes one command; the reply is its result. Threads: the owner's event loop only.

#include "coordinator/leader_reply.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/leader_controller.h"

namespace cloverbank {

class NodeRequests {
 public:
  NodeRequests(LeaderContext& context, CommandProposer& proposer,
               LeaderController& leader_controller)
      : context_(context), proposer_(proposer), leader_controller_(leader_controller) {}

  /// A repeated registration replies with the same node id.
  void RegisterServer(const proto::RegisterServerRequest& request,
                      const Reply<proto::RegisterServerResponse>& reply);
  /// kFenced: the node is dead; kStaleEpoch: a newer head is committed.
  void CommitHead(const proto::CommitHeadRequest& request,
                  const Reply<proto::CommitHeadResponse>& reply);
  /// kFenced: the node is dead; kConflict: the replay is not assigned to it.
  void FinishAssignment(const proto::FinishAssignmentRequest& request,
                        const Reply<proto::FinishAssignmentResponse>& reply);

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
  LeaderController& leader_controller_;
};

}  // namespace cloverbank

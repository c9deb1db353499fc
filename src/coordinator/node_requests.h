#pragma once
/// @file
/// Handles the requests of nodes other than heartbeats: registration, log heads and finished
/// replays. Each request proposes one command and replies with its result. Threads: the owner's
/// event loop only.

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

  /// Replies with the node id and the partition count. A repeated registration gets the same node
  /// id.
  void RegisterServer(const proto::RegisterServerRequest& request,
                      const Reply<proto::RegisterServerResponse>& reply);
  /// Errors: kFenced if the node is dead; kStaleEpoch if a newer head is committed.
  void CommitHead(const proto::CommitHeadRequest& request,
                  const Reply<proto::CommitHeadResponse>& reply);
  /// Errors: kFenced if the node is dead; kConflict if the replay is not assigned to it.
  void FinishAssignment(const proto::FinishAssignmentRequest& request,
                        const Reply<proto::FinishAssignmentResponse>& reply);

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
  LeaderController& leader_controller_;
};

}  // namespace cloverbank

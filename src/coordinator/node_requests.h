#pragma once
/// @file
/// What nodes ask of the leader besides heartbeats: registration, heads of logs, finished replays.
/// Each is one command; the answer says how applying it went.

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

  void RegisterServer(const proto::RegisterServerRequest& request,
                      const Reply<proto::RegisterServerResponse>& reply);
  /// kFenced: the node is dead; kStaleEpoch: a newer head is committed.
  void CommitHead(const proto::CommitHeadRequest& request,
                  const Reply<proto::CommitHeadResponse>& reply);
  /// kFenced: the node is dead; kConflict: the replay was given to another.
  void FinishAssignment(const proto::FinishAssignmentRequest& request,
                        const Reply<proto::FinishAssignmentResponse>& reply);

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
  LeaderController& leader_controller_;
};

}  // namespace cloverbank

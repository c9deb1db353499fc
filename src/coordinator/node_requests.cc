#include "coordinator/node_requests.h"

#include <utility>

namespace cloverbank {

void NodeRequests::RegisterServer(const proto::RegisterServerRequest& request,
                                  const Reply<proto::RegisterServerResponse>& reply) {
  leader_controller_.InitializePartitions();
  proto::ControlCommand command;
  *command.mutable_register_server()->mutable_server() = request.server();
  command.mutable_register_server()->set_previous_node_id(request.previous_node_id());
  ProposeAndAnswer<proto::RegisterServerResponse>(
      proposer_, command, reply, [this](const proto::ControlCommandResult& result) {
        context_.detector.RecordHeartbeat(NodeId(result.node_id()), context_.environment.Now());
        proto::RegisterServerResponse response;
        response.set_node_id(result.node_id());
        response.set_partition_count(context_.state.partitions().partition_count());
        return response;
      });
}

void NodeRequests::CommitHead(const proto::CommitHeadRequest& request,
                              const Reply<proto::CommitHeadResponse>& reply) {
  proto::ControlCommand command;
  *command.mutable_commit_head()->mutable_head() = request.head();
  ProposeAndAnswer<proto::CommitHeadResponse>(
      proposer_, command, reply,
      [](const proto::ControlCommandResult&) { return proto::CommitHeadResponse(); });
}

void NodeRequests::FinishAssignment(const proto::FinishAssignmentRequest& request,
                                    const Reply<proto::FinishAssignmentResponse>& reply) {
  const proto::ControlCommand command = MakeFinishAssignment(
      NodeId(request.dead_node_id()), NodeId(request.queue_node_id()), request.partition_ids());
  ProposeAndAnswer<proto::FinishAssignmentResponse>(
      proposer_, command, reply,
      [](const proto::ControlCommandResult&) { return proto::FinishAssignmentResponse(); });
}

}  // namespace cloverbank

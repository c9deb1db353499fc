#include "leader/recovery_executor.h"

#include <string>
#include <utility>
#include <variant>

#include "runtime/typed_peer.h"

namespace cloverbank {

void RecoveryExecutor::Step(bool may_assign) {
  RecoveryInput input;
  input.now = context_.environment.Now();
  input.may_assign = may_assign;
  input.unresponsive = context_.unresponsive;
  for (const RecoveryAction& action : manager_.Step(context_.state, input)) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
}

void RecoveryExecutor::Execute(const StartReadingAction& action) {
  proto::StartReadingDataRequest request;
  request.set_dead_node_id(action.dead.value());
  CallPeer<proto::StartReadingDataResponse>(
      context_.environment, action.endpoint, "backup.StartReadingData", request,
      context_.options.call_deadline,
      [this, action, alive = std::weak_ptr<bool>(context_.alive)](
          Result<proto::StartReadingDataResponse> answer) {
        if (!alive.expired()) {
          manager_.HandleReadingData(action.dead, action.backup, std::move(answer));
        }
      });
}

void RecoveryExecutor::Execute(const ProposeReplayAction& action) {
  proto::ControlCommand command;
  *command.mutable_start_replay() = action.command;
  proposer_.ProposeOnce("replay:" + std::to_string(action.command.dead_node_id()), command);
}

void RecoveryExecutor::Execute(const RecoverPartitionsAction& action) {
  CallPeer<proto::RecoverPartitionsResponse>(
      context_.environment, action.endpoint, "queue.RecoverPartitions", action.request,
      context_.options.call_deadline,
      [this, request = action.request, alive = std::weak_ptr<bool>(context_.alive)](
          const Result<proto::RecoverPartitionsResponse>& answer) {
        if (!alive.expired()) {
          HandleReplayAnswer(request, answer);
        }
      });
}

void RecoveryExecutor::HandleReplayAnswer(const proto::RecoverPartitionsRequest& request,
                                          const Result<proto::RecoverPartitionsResponse>& answer) {
  if (!answer.ok() || !answer->done() || !context_.CanAnswerRequests()) {
    return;
  }
  const NodeId dead(request.dead_node_id());
  const NodeId node(request.queue_node_id());
  proposer_.ProposeOnce("finish:" + dead.ToString() + ":" + node.ToString(),
                        MakeFinishAssignment(dead, node, request.partition_ids()));
}

void RecoveryExecutor::Execute(const ReleaseAction& action) {
  proto::ReleaseRecoveryDataRequest request;
  request.set_dead_node_id(action.dead.value());
  CallPeer<proto::ReleaseRecoveryDataResponse>(
      context_.environment, action.endpoint, "backup.ReleaseRecoveryData", request,
      context_.options.call_deadline,
      [this, action, alive = std::weak_ptr<bool>(context_.alive)](
          const Result<proto::ReleaseRecoveryDataResponse>& answer) {
        if (!alive.expired()) {
          manager_.HandleReleased(action.dead, action.backup, answer.status());
        }
      });
}

void RecoveryExecutor::Execute(const ProposeFinishAction& action) {
  proto::ControlCommand command;
  command.mutable_finish_recovery()->set_dead_node_id(action.dead.value());
  proposer_.ProposeOnce("finish_recovery:" + action.dead.ToString(), command);
}

}  // namespace cloverbank

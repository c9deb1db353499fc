#include "leader/command_proposer.h"

#include <utility>

namespace cloverbank {
namespace {

Result<proto::ControlCommandResult> DecodeResult(const std::string& bytes) {
  proto::ControlCommandResult result;
  if (!result.ParseFromString(bytes)) {
    return Status(StatusCode::kInternal, "the result of a control command, " +
                                             std::to_string(bytes.size()) +
                                             " bytes, cannot be decoded as a ControlCommandResult");
  }
  const auto code = static_cast<StatusCode>(result.error_code());
  if (code != StatusCode::kOk) {
    return Status(code, result.error_message());
  }
  return result;
}

}  // namespace

proto::ControlCommand MakeFinishAssignment(
    NodeId dead, NodeId node, const google::protobuf::RepeatedField<std::uint64_t>& partition_ids) {
  proto::ControlCommand command;
  proto::FinishAssignmentCommand& finish = *command.mutable_finish_assignment();
  finish.set_dead_node_id(dead.value());
  finish.set_queue_node_id(node.value());
  *finish.mutable_partition_ids() = partition_ids;
  return command;
}

void CommandProposer::Propose(const proto::ControlCommand& command, Done done) {
  context_.log.Propose(command.SerializeAsString(),
                       [this, alive = std::weak_ptr<bool>(context_.alive),
                        done = std::move(done)](const Result<std::string>& applied) {
                         if (!alive.expired()) {
                           HandleApplied(applied, done);
                         }
                       });
}

void CommandProposer::HandleApplied(const Result<std::string>& applied, const Done& done) {
  if (applied.ok()) {
    done(DecodeResult(*applied));
    return;
  }
  context_.environment.metrics().Increment("coordinator_proposal_failed_total",
                                           {{"reason", StatusCodeName(applied.status().code())}});
  done(context_.MakeNotLeaderStatus());
}

void CommandProposer::ProposeOnce(const std::string& key, const proto::ControlCommand& command,
                                  Done done) {
  if (!in_flight_.insert(key).second) {
    return;
  }
  Propose(command, [this, key, generation = generation_,
                    done = std::move(done)](Result<proto::ControlCommandResult> result) {
    MarkFinished(key, generation);
    if (done != nullptr) {
      done(std::move(result));
    }
  });
}

void CommandProposer::MarkFinished(const std::string& key, std::uint64_t generation) {
  if (generation == generation_) {
    in_flight_.erase(key);
  }
}

void CommandProposer::Reset() {
  in_flight_.clear();
  ++generation_;
}

}  // namespace cloverbank

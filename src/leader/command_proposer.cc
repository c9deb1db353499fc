#include "leader/command_proposer.h"

#include <utility>

namespace cloverbank {
namespace {

Result<proto::ControlCommandResult> Decode(const std::string& bytes) {
  proto::ControlCommandResult result;
  if (!result.ParseFromString(bytes)) {
    return Status(StatusCode::kInternal, "malformed control command result");
  }
  const auto code = static_cast<StatusCode>(result.error_code());
  if (code != StatusCode::kOk) {
    return Status(code, result.error_message());
  }
  return result;
}

}  // namespace

void CommandProposer::Propose(const proto::ControlCommand& command, Done done) {
  context_.log.Propose(command.SerializeAsString(),
                       [this, alive = std::weak_ptr<bool>(context_.alive),
                        done = std::move(done)](Result<std::string> applied) {
                         if (alive.expired()) {
                           return;
                         }
                         if (applied.ok()) {
                           done(Decode(*applied));
                           return;
                         }
                         context_.environment.metrics().Increment(
                             "coordinator_proposal_failed_total",
                             {{"reason", StatusCodeName(applied.status().code())}});
                         done(context_.NotLeader());
                       });
}

void CommandProposer::ProposeOnce(const std::string& key, const proto::ControlCommand& command,
                                  Done done) {
  if (!under_way_.insert(key).second) {
    return;
  }
  const std::uint64_t generation = generation_;
  Propose(command, [this, key, generation,
                    done = std::move(done)](Result<proto::ControlCommandResult> result) {
    if (generation == generation_) {
      under_way_.erase(key);
    }
    if (done != nullptr) {
      done(std::move(result));
    }
  });
}

void CommandProposer::Reset() {
  under_way_.clear();
  ++generation_;
}

}  // namespace cloverbank

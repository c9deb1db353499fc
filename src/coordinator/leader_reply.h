#pragma once
/// @file
/// The reply callback of typed peer calls to the leader, and replies with the result of a command.

#include <functional>
#include <utility>

#include "base/status.h"
#include "leader/command_proposer.h"

namespace cloverbank {

/// Sends the response or an error to the caller.
template <typename Response>
using Reply = std::function<void(Result<Response>)>;

/// Proposes `command` and, once it has been applied, replies with `respond(result)`; replies with
/// the error if the proposal or the command failed.
template <typename Response>
void ProposeAndAnswer(CommandProposer& proposer, const proto::ControlCommand& command,
                      const Reply<Response>& reply,
                      std::function<Response(const proto::ControlCommandResult&)> respond) {
  proposer.Propose(command, [reply, respond = std::move(respond)](
                                const Result<proto::ControlCommandResult>& result) {
    if (result.ok()) {
      reply(respond(*result));
    } else {
      reply(result.status());
    }
  });
}

}  // namespace cloverbank

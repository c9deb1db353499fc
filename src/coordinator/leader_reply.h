#pragma once
/// @file
/// Replies of the leader to typed peer calls.

#include <functional>
#include <utility>

#include "base/status.h"
#include "leader/command_proposer.h"

namespace cloverbank {

template <typename Response>
using Reply = std::function<void(Result<Response>)>;

/// Proposes `command` and replies with `respond(result)`, or with the error.
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

#pragma once
/// @file
/// State that the parts of one `NodeAgent` share: the environment, options and session, and calls
/// to the leader that are dropped when the node id becomes invalid. Threads: the owner's event loop
/// only.

#include <functional>
#include <memory>

#include "control_client/coordinator_directory.h"
#include "control_client/leader_call.h"
#include "control_client/node_agent_options.h"
#include "control_client/node_session.h"
#include "runtime/environment.h"

namespace cloverbank {

class NodeContext {
 public:
  NodeContext(Environment& node_environment, NodeAgentOptions node_options);

  /// Calls the leader to get or renew the current registration. `done` runs on the event loop,
  /// unless `InvalidateNodeId` runs or the context is destroyed before.
  void CallLeader(LeaderCallOptions call, std::function<void(const LeaderReply&)> done) const;
  /// Invalidates the node id and its lease, and drops pending calls.
  void InvalidateNodeId();
  /// @return a pointer that expires at the next `InvalidateNodeId`, or when the context is
  /// destroyed.
  std::weak_ptr<void> registration_token() const { return registration_token_; }

  Environment& environment;
  const NodeAgentOptions options;
  NodeSession session;
  const std::shared_ptr<CoordinatorDirectory> directory;

 private:
  std::shared_ptr<bool> registration_token_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

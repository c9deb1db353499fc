#pragma once
/// @file
/// State that the parts of one `NodeAgent` share: environment, options, session, and calls to the
/// leader on behalf of the current incarnation. Threads: the owner's event loop only.

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

  /// Calls the leader on behalf of this incarnation: `done` is dropped once it has ended.
  void CallLeader(LeaderCallOptions call, std::function<void(const LeaderReply&)> done) const;
  /// Ends the validity of the node id and its lease, and drops pending calls.
  void EndIncarnation();
  /// Expires when the incarnation ends or the context is destroyed.
  std::weak_ptr<void> incarnation_token() const { return incarnation_token_; }

  Environment& environment;
  const NodeAgentOptions options;
  NodeSession session;
  const std::shared_ptr<CoordinatorDirectory> directory;

 private:
  std::shared_ptr<bool> incarnation_token_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

#pragma once
/// @file
/// What the batch worker's calls to queue nodes have in common: the owner of a partition, its
/// endpoint, and the handling of failures. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "base/ids.h"
#include "base/status.h"
#include "control_client/node_agent.h"
#include "runtime/environment.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

/// Wraps callbacks so that they do nothing once the guard, and the object that owns it, is gone.
class LifetimeGuard {
 public:
  template <typename Action>
  auto Wrap(Action action) const {
    return [token = std::weak_ptr<const bool>(alive_),
            action = std::move(action)](auto&&... arguments) {
      if (!token.expired()) {
        action(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }
  std::weak_ptr<const bool> token() const { return alive_; }

 private:
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

/// @return the owner of `partition`; an invalid id while there is none.
NodeId FindPartitionOwner(const NodeAgent& agent, PartitionId partition);

Endpoint PeerEndpointFor(const proto::Server& server);

/// Counts a failed call, and reports a node that did not respond to the coordinators as suspect.
void RecordQueueNodeFailure(Environment& environment, NodeAgent& agent, std::string_view method,
                            NodeId node, const Status& status);

}  // namespace cloverbank

#pragma once
/// @file
/// Helpers for the batch worker's calls to queue nodes: finding the owner of a partition and its
/// endpoint, and handling failures. Threads: the owner's event loop only.

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

/// Wraps callbacks so that they do nothing once the guard (with the object that owns it) is
/// destroyed.
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
  /// @return a token that expires when the guard is destroyed.
  std::weak_ptr<const bool> token() const { return alive_; }

 private:
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

/// @return the node that owns `partition`; an invalid id while there is none.
NodeId FindPartitionOwner(const NodeAgent& agent, PartitionId partition);

/// @return the endpoint for peer calls to `server`.
Endpoint PeerEndpointFor(const proto::Server& server);

/// Counts a failed call. If the node did not respond, also reports it to the coordinators as
/// suspect.
void RecordQueueNodeFailure(Environment& environment, NodeAgent& agent, std::string_view method,
                            NodeId node, const Status& status);

}  // namespace cloverbank

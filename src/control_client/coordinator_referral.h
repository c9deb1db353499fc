#pragma once
/// @file
/// Redirects coordinator calls that reach a process which is not a coordinator. Such calls arrive
/// because any machine can be configured as a seed, and a machine that has just started knows only
/// its seeds. Threads: the owner's event loop only.

#include <memory>

#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Answers coordinator methods with kNotLeader and the endpoint of a coordinator as the detail.
class CoordinatorReferral {
 public:
  /// Registers handlers for the coordinator methods, so the process must not serve them itself. The
  /// handlers answer kUnavailable until `agent` has received its first heartbeat response.
  /// @param agent must outlive this object.
  CoordinatorReferral(Environment& environment, const NodeAgent& agent);

 private:
  /// The handlers answer kUnavailable once this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

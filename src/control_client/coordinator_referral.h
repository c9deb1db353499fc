#pragma once
/// @file
/// Refers calls for the coordinators to one of them, in a process that is no coordinator: a seed
/// may be any machine, and a machine that has just started knows only its seeds. Threads: the
/// owner's event loop only.

#include <memory>

#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

class CoordinatorReferral {
 public:
  /// Registers the coordinators' methods; the process must not serve them itself. Refuses calls
  /// until `agent`, which must outlive this, has heard from the coordinators.
  CoordinatorReferral(Environment& environment, const NodeAgent& agent);

 private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

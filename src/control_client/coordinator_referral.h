#pragma once
/// @file
/// Answers calls for the coordinators in a process that is none of them, by naming one: seeds may
/// name machines that never were coordinators, and a machine that has just started knows only its
/// seeds. Threads: the owner's event loop only.

#include <memory>

#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

class CoordinatorReferral {
 public:
  /// Registers the methods of the coordinators; the process must not serve them itself. Names
  /// nobody before `agent`, which must outlive this, has heard from the coordinators.
  CoordinatorReferral(Environment& environment, const NodeAgent& agent);

 private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

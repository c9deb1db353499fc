#pragma once
/// @file
/// A coordinator: answers the coordinator.* peer methods and runs the leader's periodic work, on
/// top of the replicated log. Every member of the group runs one. Only the leader answers, while it
/// has its leader lease; the other members refuse with kNotLeader and the leader's "ip:port" in the
/// status detail. See docs/DESIGN.md sections 2, 4, 5.
///
/// Threads: the owner's event loop only.

#include <memory>

#include "consensus/replicated_log.h"
#include "control_state/control_state.h"
#include "leader/coordinator_options.h"
#include "runtime/environment.h"

namespace cloverbank {

class CoordinatorService {
 public:
  /// All references must outlive the service. `log` applies its commands to `state`.
  CoordinatorService(Environment& environment, ReplicatedLog& log, ControlState& state,
                     CoordinatorOptions options = {});
  ~CoordinatorService();
  CoordinatorService(const CoordinatorService&) = delete;
  CoordinatorService& operator=(const CoordinatorService&) = delete;

  /// Registers the peer methods, observes the log and starts the periodic tick. Call it once.
  void Start();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank

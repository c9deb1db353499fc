#pragma once
/// @file
/// State shared by the classes of the leader: the replicated state, and what the leader knows
/// during its term without replicating it. Owned by `CoordinatorService`. Threads: the owner's
/// event loop only.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "control_state/control_state.h"
#include "leader/coordinator_options.h"
#include "leader/failure_detector.h"
#include "leader/lease_table.h"
#include "leader/order_revisions.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Load that a node reported with its last heartbeat.
struct NodeLoad {
  std::uint64_t free_bytes = 0;
  std::uint64_t open_items = 0;
  bool degraded = false;
};

struct LeaderContext {
  LeaderContext(Environment& runtime_environment, ReplicatedLog& replicated_log,
                ControlState& control_state, CoordinatorOptions coordinator_options)
      : environment(runtime_environment),
        log(replicated_log),
        state(control_state),
        options(coordinator_options),
        leases(coordinator_options.node_lease),
        detector(coordinator_options.death_after),
        revisions([&runtime_environment] { return runtime_environment.Random(); }) {}

  /// @return whether this member may answer requests from its state now: it is the leader, it has
  /// applied every committed command, and no other member can be leader. Check it immediately
  /// before each answer.
  bool CanAnswerRequests() const { return log.IsReadyLeader() && log.HasLeaderLease(); }
  /// @return the kNotLeader error with which a member that may not answer refuses a request; its
  /// detail is the leader's "ip:port", or empty if the leader is not known.
  Status MakeNotLeaderStatus() const {
    const Endpoint leader = log.leader_endpoint();
    return {StatusCode::kNotLeader, "this coordinator is not the leader",
            leader.valid() ? leader.ToString() : std::string()};
  }

  Environment& environment;
  ReplicatedLog& log;
  ControlState& state;
  CoordinatorOptions options;

  LeaseTable leases;
  FailureDetector detector;
  OrderRevisions revisions;
  /// Nodes that a proposed command declares dead, until it has been applied. The leader grants them
  /// no lease.
  std::set<NodeId> pending_deaths;
  /// Live nodes that have sent no heartbeat for 1.5 s, longer than the leader delays the answer to
  /// a heartbeat. `DeathDeclarer` updates them.
  std::set<NodeId> unresponsive;
  std::map<NodeId, NodeLoad> loads;  ///< By node.
  /// Callbacks of timers and calls hold a weak pointer to it, and do nothing once the context has
  /// been destroyed and the pointer has expired.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cloverbank

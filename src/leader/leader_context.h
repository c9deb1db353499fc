#pragma once
/// @file
/// State shared by the parts of the leader: the replicated state and what the leader of one term
/// knows beside it. Owned by `CoordinatorService`. Threads: the owner's event loop only.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "control_state/control_state.h"
#include "leader/coordinator_options.h"
#include "leader/failure_detector.h"
#include "leader/lease_table.h"
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
        detector(coordinator_options.death_after) {}

  /// @return whether this member may answer from its state now: it leads, has applied every
  /// committed command and no other member can lead. Check it immediately before each answer.
  bool CanAnswer() const { return log.IsReadyLeader() && log.HasLeaderLease(); }
  /// @return the error of a member that may not answer; its detail is the leader's "ip:port" if
  /// known.
  Status NotLeader() const {
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
  /// Nodes whose death is proposed and not yet applied. They are granted no lease.
  std::set<NodeId> pending_deaths;
  /// Live nodes without a heartbeat for longer than one stays pending.
  std::set<NodeId> unresponsive;
  std::map<NodeId, NodeLoad> loads;
  /// Callbacks of timers and calls hold it weakly and do nothing once it has expired.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cloverbank

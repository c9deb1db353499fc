#pragma once
/// @file
/// What the parts of the leader share: the world, the log, the replicated state and what the leader
/// knows beside it. Owned by `CoordinatorService`.

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

/// What a node last said of itself with a heartbeat.
struct NodeLoad {
  std::uint64_t free_bytes = 0;
  std::uint64_t open_items = 0;
  bool degraded = false;
};

struct LeaderContext {
  LeaderContext(Environment& world, ReplicatedLog& replicated_log, ControlState& control_state,
                CoordinatorOptions settings)
      : environment(world),
        log(replicated_log),
        state(control_state),
        options(settings),
        leases(settings.node_lease),
        detector(settings.death_after) {}

  /// Whether this member may answer from its state now: it leads, holds every committed command and
  /// no other member can lead. Check it immediately before each answer.
  bool CanAnswer() const { return log.IsReadyLeader() && log.HasLeaderLease(); }
  /// The refusal of a member that may not answer; names the leader where known.
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
  /// Nodes whose death is proposed and not yet decided: they get no lease meanwhile.
  std::set<NodeId> pending_deaths;
  /// Silent for longer than a heartbeat may be held, not yet dead.
  std::set<NodeId> unresponsive;
  std::map<NodeId, NodeLoad> loads;
  /// Callbacks of timers and calls do nothing once it is gone.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cloverbank

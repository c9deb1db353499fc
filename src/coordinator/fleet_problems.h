#pragma once
/// @file
/// Describes to operators what is degraded in the fleet, why, and what to do about it. Pure.

#include <map>
#include <string>
#include <vector>

#include "control_state/control_state.h"
#include "leader/backup_sweeper.h"
#include "leader/leader_context.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

/// What the leader knows about the fleet at one moment. It holds references to the leader's state
/// and is valid only until that changes.
struct FleetSnapshot {
  const ControlState& state;
  const CoordinatorOptions& options;
  const RecoveryManager& recovery_manager;
  const BackupSweeper& sweeper;
  const std::map<NodeId, NodeLoad>& loads;
  const std::vector<LogMember>& members;
  std::vector<NodeId> gateways_behind;  ///< Gateways that may still use an older configuration.
};

/// @return one sentence for each problem; empty if there is none.
std::vector<std::string> DescribeProblems(const FleetSnapshot& snapshot);

}  // namespace cloverbank

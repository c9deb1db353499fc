#pragma once
/// @file
/// Says in words what is degraded in the fleet, why, and what to do. Pure.

#include <map>
#include <string>
#include <vector>

#include "control_state/control_state.h"
#include "leader/backup_sweeper.h"
#include "leader/leader_context.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

/// What the leader knows when it is asked for the state of the fleet.
struct FleetSnapshot {
  const ControlState& state;
  const CoordinatorOptions& options;
  const RecoveryManager& recoveries;
  const BackupSweeper& sweeper;
  const std::map<NodeId, NodeLoad>& loads;
  const std::vector<LogMember>& members;
  std::vector<NodeId> gateways_behind;  ///< May act by an older configuration.
};

/// @return one sentence a problem; empty if all is well.
std::vector<std::string> DescribeProblems(const FleetSnapshot& facts);

}  // namespace cloverbank

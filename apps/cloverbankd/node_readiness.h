#pragma once
/// @file
/// Helpers for the roles whose node holds a lease from the coordinators.

#include <memory>
#include <optional>
#include <string>

#include "cloverbankd/role.h"
#include "control_client/coordinator_directory.h"
#include "control_client/node_agent.h"
#include "settings/settings.h"

namespace cloverbank {

/// @return the directory of coordinators that all roles of a process with `settings` share.
std::shared_ptr<CoordinatorDirectory> MakeCoordinatorDirectory(const Settings& settings);

/// @return the options of a node agent for `role` on the machine of `context`.
NodeAgentOptions MakeAgentOptions(const RoleContext& context, proto::Role role);

/// @return why `agent` holds no valid lease; nothing if it holds one.
std::optional<std::string> MissingLeaseReason(const NodeAgent& agent);

}  // namespace cloverbank

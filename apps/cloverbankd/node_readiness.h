#pragma once
/// @file
/// Helpers for the roles whose node holds a lease from the coordinators.

#include <optional>
#include <string>

#include "control_client/node_agent.h"
#include "settings/settings.h"

namespace cloverbank {

/// @return the options of a node agent for `role` on the machine that `settings` describe.
NodeAgentOptions MakeAgentOptions(const Settings& settings, proto::Role role);

/// @return why `agent` holds no valid lease; nothing if it holds one.
std::optional<std::string> MissingLeaseReason(const NodeAgent& agent);

}  // namespace cloverbank

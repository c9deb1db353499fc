#pragma once
/// @file
/// What roles that hold a node lease have in common.

#include <optional>
#include <string>

#include "control_client/node_agent.h"
#include "settings/settings.h"

namespace cloverbank {

/// @return options of an agent for `role` on the machine of `settings`.
NodeAgentOptions MakeAgentOptions(const Settings& settings, proto::Role role);

/// @return what keeps `agent` from acting; nothing if it may.
std::optional<std::string> LeaseMissing(const NodeAgent& agent);

}  // namespace cloverbank

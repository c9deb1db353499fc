#include "cloverbankd/node_readiness.h"

namespace cloverbank {

NodeAgentOptions MakeAgentOptions(const Settings& settings, proto::Role role) {
  NodeAgentOptions options;
  options.role = role;
  options.machine = settings.machine;
  options.zone = settings.zone;
  options.client_endpoint = settings.client;
  options.coordinators = settings.seeds;
  if (settings.roles.coordinator) {
    // The seeds may no longer name this machine.
    options.coordinators.push_back(settings.peer);
  }
  return options;
}

std::optional<std::string> MissingLeaseReason(const NodeAgent& agent) {
  if (!agent.node_id().valid()) {
    return "not registered with the coordinators";
  }
  if (!agent.HasValidLease()) {
    return "no valid lease from the coordinators";
  }
  return std::nullopt;
}

}  // namespace cloverbank

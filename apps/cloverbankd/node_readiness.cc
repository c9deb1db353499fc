#include "cloverbankd/node_readiness.h"

#include <utility>

namespace cloverbank {

std::shared_ptr<CoordinatorDirectory> MakeCoordinatorDirectory(const Settings& settings) {
  std::vector<Endpoint> seeds = settings.seeds;
  if (settings.roles.coordinator) {
    // The seeds may no longer name this machine.
    seeds.push_back(settings.peer);
  }
  return std::make_shared<CoordinatorDirectory>(std::move(seeds));
}

NodeAgentOptions MakeAgentOptions(const RoleContext& context, proto::Role role) {
  NodeAgentOptions options;
  options.role = role;
  options.machine = context.settings.machine;
  options.zone = context.settings.zone;
  options.client_endpoint = context.settings.client;
  options.directory = context.coordinators;
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

#include "control_client/coordinator_referral.h"

#include <array>
#include <string_view>

namespace cloverbank {
namespace {

/// Methods that a node, or a gateway on behalf of an operator, may call before it knows the
/// coordinators.
constexpr std::array<std::string_view, 5> kCoordinatorMethods = {
    "coordinator.RegisterServer", "coordinator.GetConfiguration", "coordinator.SubmitTransaction",
    "coordinator.RetireServer", "coordinator.GetRetirement"};

/// @return kNotLeader with the endpoint of the likely leader as the detail, or kUnavailable if
/// `agent` has not received the list of coordinators.
Status MakeReferral(const NodeAgent& agent) {
  const bool knows_coordinators = agent.list_sources().has_value();
  const std::vector<Endpoint> coordinators = agent.coordinators();
  if (!knows_coordinators || coordinators.empty()) {
    return {StatusCode::kUnavailable,
            "this process is not a coordinator and has not received the list of coordinators yet"};
  }
  return {StatusCode::kNotLeader, "this process is not a coordinator",
          coordinators.front().ToString()};
}

}  // namespace

CoordinatorReferral::CoordinatorReferral(Environment& environment, const NodeAgent& agent) {
  for (const std::string_view method : kCoordinatorMethods) {
    environment.RegisterPeerMethod(method, [&agent, alive = std::weak_ptr<bool>(alive_)](
                                               const PeerRequest&, const PeerReplyCallback& reply) {
      if (alive.expired()) {
        reply({Status(StatusCode::kUnavailable, "the process is stopping"), {}});
      } else {
        reply({MakeReferral(agent), {}});
      }
    });
  }
}

}  // namespace cloverbank

#include "control_client/node_context.h"

#include <cstdint>
#include <utility>

namespace cloverbank {
namespace {

/// @return a random incarnation other than 0.
Incarnation GenerateIncarnation(Environment& environment) {
  const std::uint64_t random_value = environment.Random();
  return Incarnation(random_value == 0 ? 1 : random_value);
}

}  // namespace

NodeContext::NodeContext(Environment& node_environment, NodeAgentOptions node_options)
    : environment(node_environment),
      options(std::move(node_options)),
      session(GenerateIncarnation(node_environment)),
      directory(options.directory != nullptr
                    ? options.directory
                    : std::make_shared<CoordinatorDirectory>(options.coordinators)) {}

void NodeContext::CallLeader(LeaderCallOptions call,
                             std::function<void(const LeaderReply&)> done) const {
  LeaderCall::Start(environment, directory, registration_token_, std::move(call), std::move(done));
}

void NodeContext::InvalidateNodeId() {
  session.InvalidateNodeId();
  registration_token_ = std::make_shared<bool>(true);
}

}  // namespace cloverbank

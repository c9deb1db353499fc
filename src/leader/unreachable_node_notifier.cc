#include "leader/unreachable_node_notifier.h"

#include "control_state/proto_endpoint.h"
#include "runtime/node_methods.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

void UnreachableNodeNotifier::Step() {
  proto::UpdateCoordinatorsRequest request;
  for (const LogMember& member : context_.log.members()) {
    *request.add_coordinators() = ToProto(member.endpoint);
  }
  for (const UnreachableNodes::NodeLocation& location : nodes_.StartDueNotifications(
           context_.state, context_.unresponsive, context_.environment.Now())) {
    CallPeer<proto::UpdateCoordinatorsResponse>(
        context_.environment, location.endpoint, UpdateCoordinatorsMethod(location.role), request,
        context_.options.call_deadline, [](const Result<proto::UpdateCoordinatorsResponse>&) {});
  }
}

}  // namespace cloverbank

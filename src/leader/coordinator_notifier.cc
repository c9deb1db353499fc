#include "leader/coordinator_notifier.h"

#include "control_state/proto_endpoint.h"
#include "runtime/node_methods.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

void CoordinatorNotifier::Step() {
  proto::UpdateCoordinatorsRequest request;
  for (const LogMember& member : context_.log.members()) {
    *request.add_coordinators() = ToProto(member.endpoint);
  }
  for (const CoordinatorNotificationSchedule::NodeLocation& location :
       schedule_.StartDueNotifications(context_.state, context_.unresponsive,
                                       context_.environment.Now())) {
    CallPeer<proto::UpdateCoordinatorsResponse>(
        context_.environment, location.endpoint, UpdateCoordinatorsMethod(location.role), request,
        context_.options.call_deadline, [](const Result<proto::UpdateCoordinatorsResponse>&) {});
  }
}

}  // namespace cloverbank

#include "coordinator/coordinator_methods.h"

#include <memory>
#include <string>
#include <utility>

#include "runtime/typed_peer.h"

namespace cloverbank {

CoordinatorMethods::CoordinatorMethods(LeaderContext& context, LeaderSession& session,
                                       Handlers handlers, std::function<void()> on_heartbeat)
    : context_(context),
      session_(session),
      handlers_(handlers),
      on_heartbeat_(std::move(on_heartbeat)) {}

void CoordinatorMethods::Serve() {
  ServeNodes();
  ServeOperators();
}

void CoordinatorMethods::ServeNodes() {
  ServeAsLeader("coordinator.RegisterServer", handlers_.nodes, &NodeRequests::RegisterServer);
  ServeAsLeader("coordinator.CommitHead", handlers_.nodes, &NodeRequests::CommitHead);
  ServeAsLeader("coordinator.FinishAssignment", handlers_.nodes, &NodeRequests::FinishAssignment);
  ServeWhileAlive<proto::HeartbeatRequest, proto::HeartbeatResponse>(
      "coordinator.Heartbeat",
      [this](const proto::HeartbeatRequest& request, HeartbeatHandler::Reply reply) {
        HandleHeartbeat(request, std::move(reply));
      });
}

void CoordinatorMethods::ServeOperators() {
  OperatorRequests& operators = handlers_.operators;
  ServeAsLeader("coordinator.RetireServer", operators, &OperatorRequests::RetireServer);
  ServeAsLeader("coordinator.GetRetirement", operators, &OperatorRequests::GetRetirement);
  ServeAsLeader("coordinator.GetConfiguration", operators, &OperatorRequests::GetConfiguration);
  ServeAsLeader("coordinator.GetFleetStatus", operators, &OperatorRequests::GetFleetStatus);
  ServeAsLeader("coordinator.SubmitTransaction", handlers_.transactions,
                &TransactionHandler::Submit);
}

void CoordinatorMethods::HandleHeartbeat(const proto::HeartbeatRequest& request,
                                         HeartbeatHandler::Reply reply) {
  session_.EnsureReady();
  handlers_.heartbeats.Handle(request, std::move(reply));
  on_heartbeat_();
}

template <typename Requests, typename Request, typename Response>
void CoordinatorMethods::ServeAsLeader(std::string_view method, Requests& handlers,
                                       void (Requests::*handler)(const Request& request,
                                                                 const Reply<Response>& reply)) {
  ServeWhileAlive<Request, Response>(method, [this, &handlers, handler, name = std::string(method)](
                                                 const Request& request, Reply<Response> reply) {
    const Reply<Response> counting_reply = CountRefusals(name, std::move(reply));
    if (session_.EnsureReady()) {
      (handlers.*handler)(request, counting_reply);
    } else {
      counting_reply(context_.MakeNotLeaderStatus());
    }
  });
}

template <typename Request, typename Response>
void CoordinatorMethods::ServeWhileAlive(
    std::string_view method, std::function<void(const Request&, Reply<Response>)> handler) {
  ServePeer<Request, Response>(
      context_.environment, method,
      [handler = std::move(handler), alive = std::weak_ptr<bool>(context_.alive)](
          const Request& request, const std::string& /*peer_address*/, Reply<Response> reply) {
        if (alive.expired()) {
          reply(Status(StatusCode::kUnavailable, "the coordinator is stopping"));
        } else {
          handler(request, std::move(reply));
        }
      });
}

template <typename Response>
Reply<Response> CoordinatorMethods::CountRefusals(std::string_view method, Reply<Response> reply) {
  return [this, name = std::string(method), reply = std::move(reply)](Result<Response> result) {
    if (!result.ok()) {
      context_.environment.metrics().Increment(
          "coordinator_refused_total",
          {{"method", name}, {"reason", StatusCodeName(result.status().code())}});
    }
    reply(std::move(result));
  };
}

}  // namespace cloverbank

#pragma once
/// @file
/// Registers the coordinator.* peer methods and routes each to its handler; a member that may not
/// answer refuses. Threads: the owner's event loop only.

#include <functional>
#include <string_view>

#include "coordinator/heartbeat_handler.h"
#include "coordinator/leader_reply.h"
#include "coordinator/leader_session.h"
#include "coordinator/node_requests.h"
#include "coordinator/operator_requests.h"
#include "coordinator/transaction_handler.h"
#include "leader/leader_context.h"

namespace cloverbank {

class CoordinatorMethods {
 public:
  struct Handlers {
    NodeRequests& nodes;
    OperatorRequests& operators;
    HeartbeatHandler& heartbeats;
    TransactionHandler& transactions;
  };

  /// @param on_heartbeat called after each heartbeat was handled.
  CoordinatorMethods(LeaderContext& context, LeaderSession& session, Handlers handlers,
                     std::function<void()> on_heartbeat);

  void Serve();

 private:
  void ServeNodes();
  void ServeOperators();
  void HandleHeartbeat(const proto::HeartbeatRequest& request, HeartbeatHandler::Reply reply);
  /// Lets `handler` of `handlers` answer `method` if this member may answer.
  template <typename Requests, typename Request, typename Response>
  void ServeAsLeader(std::string_view method, Requests& handlers,
                     void (Requests::*handler)(const Request& request,
                                               const Reply<Response>& reply));
  /// Lets `handler` answer `method` until the coordinator stops.
  template <typename Request, typename Response>
  void ServeWhileAlive(std::string_view method,
                       std::function<void(const Request&, Reply<Response>)> handler);
  /// @return `reply`, counting refusals under `method` first.
  template <typename Response>
  Reply<Response> CountRefusals(std::string_view method, Reply<Response> reply);

  LeaderContext& context_;
  LeaderSession& session_;
  Handlers handlers_;
  std::function<void()> on_heartbeat_;
};

}  // namespace cloverbank

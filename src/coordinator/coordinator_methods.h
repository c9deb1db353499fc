#pragma once
/// @file
/// Registers the coordinator.* peer methods and passes each call to its handler; a member that may
/// not answer (`LeaderContext::CanAnswerRequests`) refuses it with kNotLeader. Threads: the owner's
/// event loop only.

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

  /// @param on_heartbeat called after each heartbeat has been passed to its handler, on the event
  /// loop.
  CoordinatorMethods(LeaderContext& context, LeaderSession& session, Handlers handlers,
                     std::function<void()> on_heartbeat);

  /// Registers all methods. Call it once.
  void Serve();

 private:
  void ServeNodes();
  void ServeOperators();
  void HandleHeartbeat(const proto::HeartbeatRequest& request, HeartbeatHandler::Reply reply);
  /// Registers `method`: calls `handler` of `handlers` if this member may answer, otherwise refuses
  /// with kNotLeader. Counts refusals.
  template <typename Requests, typename Request, typename Response>
  void ServeAsLeader(std::string_view method, Requests& handlers,
                     void (Requests::*handler)(const Request& request,
                                               const Reply<Response>& reply));
  /// Registers `method`: calls `handler` until the coordinator stops, then refuses with
  /// kUnavailable.
  template <typename Request, typename Response>
  void ServeWhileAlive(std::string_view method,
                       std::function<void(const Request&, Reply<Response>)> handler);
  /// @return a callback that counts an error under `method` and then calls `reply`.
  template <typename Response>
  Reply<Response> CountRefusals(std::string_view method, Reply<Response> reply);

  LeaderContext& context_;
  LeaderSession& session_;
  Handlers handlers_;
  std::function<void()> on_heartbeat_;
};

}  // namespace cloverbank

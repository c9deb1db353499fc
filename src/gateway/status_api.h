#pragma once
/// @file
/// Adapter: the HTTP interface for the status of the fleet and of this gateway.
///
///     GET /v1/status   the fleet's status and problems, from the coordinator leader
///     GET /healthz     this gateway's health: 200 with a valid lease, else 503
///     GET /metrics     this process's metrics in the Prometheus text format
///
/// Threads: the owner's event loop only.

#include "control_client/node_agent.h"
#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

class StatusApi {
 public:
  /// Registers the handlers. `router` must not call them after this object or `agent` is
  /// destroyed.
  StatusApi(Environment& environment, HttpRouter& router, NodeAgent& agent);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void GetFleetStatus(const Responder& responder);
  void GetHealth(const Responder& responder);
  void GetMetrics(const Responder& responder);

  Environment& environment_;
  NodeAgent& agent_;
};

}  // namespace cloverbank

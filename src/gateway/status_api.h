#pragma once
/// @file
/// Adapter: what operators and monitoring see of the fleet and of this gateway.
///
///     GET /v1/status   the fleet as the coordinator leader knows it, with what is degraded
///     GET /healthz     this gateway: 200 while it may serve, else 503
///     GET /metrics     this process's metrics in the Prometheus text format
///
/// Threads: the owner's event loop only.

#include "control_client/node_agent.h"
#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

class StatusApi {
 public:
  /// Registers the handlers. `router` must not serve any more once `agent` is gone.
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

#pragma once
/// @file
/// The gateway of one process: ties the data plane and the batch worker to the node agent and
/// registers everything it serves (live calls, batches, operators, status). Threads: the owner's
/// event loop only.

#include <memory>
#include <string>

#include "calls/backend_caller.h"
#include "calls/gateway_options.h"
#include "control_client/node_agent.h"
#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

class BatchService;
class ForwardingService;

class GatewayService {
 public:
  /// @param router must not serve any more once this is gone.
  GatewayService(Environment& environment, HttpClient& client, HttpRouter& router, NodeAgent& agent,
                 GatewayOptions options);
  ~GatewayService();
  GatewayService(const GatewayService&) = delete;
  GatewayService& operator=(const GatewayService&) = delete;

  /// Begins to read the list of replicas, to probe them and to ask for batch work.
  void Start();
  /// Refuses new calls and batch items; those under way go on. For a clean stop.
  void Drain();
  /// @return whether everything that was under way when `Drain` came has ended and is reported.
  bool Drained() const;
  /// @return whether live calls are served now; if not, `reason` (may be null) says what is
  /// missing.
  bool Ready(std::string* reason) const;
  /// Live calls that were admitted and have not ended.
  std::size_t calls_in_flight() const;
  BackendCaller& backend_caller();
  /// Live calls of the HTTP routes, for front interfaces.
  ForwardingService& forwarding();
  /// Batches of the HTTP routes, for front interfaces.
  BatchService& batches();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank

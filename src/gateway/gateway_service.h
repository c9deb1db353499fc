#pragma once
/// @file
/// The gateway of one process: connects the data plane and the batch worker to the node agent, and
/// registers the HTTP interfaces (live calls, batches, operators, status). Threads: the owner's
/// event loop only.

#include <memory>
#include <string>

#include "calls/backend_caller.h"
#include "calls/gateway_options.h"
#include "control_client/node_agent.h"
#include "gateway/stop_schedule.h"
#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

class BatchService;
class ForwardingService;

class GatewayService {
 public:
  /// @param router must not call the registered handlers after this object is destroyed.
  GatewayService(Environment& environment, HttpClient& client, HttpRouter& router, NodeAgent& agent,
                 GatewayOptions options);
  ~GatewayService();
  GatewayService(const GatewayService&) = delete;
  GatewayService& operator=(const GatewayService&) = delete;

  /// Starts to read the list of replicas, to probe them and to request batch work.
  void Start();
  /// Begins a graceful stop: refuses batch items and the calls that `schedule` rules out, while
  /// running ones continue.
  void Drain(const StopSchedule& schedule);
  /// @return whether `Drain` was called and every call and batch item has ended, with the results
  /// of the items reported.
  bool Drained() const;
  /// @return whether live calls are served now; if not, `reason` (may be null) says what is
  /// missing.
  bool Ready(std::string* reason) const;
  /// @return the number of live calls that were admitted and have not ended.
  std::size_t calls_in_flight() const;
  BackendCaller& backend_caller();
  /// Live calls of the HTTP routes, for the platform's client interface.
  ForwardingService& forwarding();
  /// Batches of the HTTP routes, for the platform's client interface.
  BatchService& batches();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Live calls of the HTTP routes: finds the route of a request by host and path, admits it, and
/// runs it by a `CallRunner`. The platform's client interface parses requests to typed calls.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "calls/call_runner.h"
#include "calls/forward_exchange.h"
#include "calls/gateway_options.h"
#include "gateway/configuration_wait_queue.h"
#include "gateway/incoming_call.h"
#include "net/http_types.h"

namespace cloverbank {

class LiveForward;

class ForwardingService {
 public:
  ForwardingService(const CallContext& context, const GatewayOptions& options);
  ~ForwardingService();
  ForwardingService(const ForwardingService&) = delete;
  ForwardingService& operator=(const ForwardingService&) = delete;

  /// Responds with a replica's response, or with an error that says whether the request ran.
  void Handle(IncomingCall call, const std::shared_ptr<HttpResponder>& responder);

  /// A configuration applies: calls that waited for it are admitted.
  void OnConfiguration();

  /// @return the route of `host` and `path`, or nullptr.
  const proto::Route* FindRouteFor(std::string_view host, std::string_view path) const;

  std::size_t calls_in_flight() const { return calls_.size(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  bool CanServe() const;
  void WaitForConfiguration(IncomingCall call, const Responder& responder);
  void RefuseWithoutConfiguration(HttpResponder& responder);
  void Admit(IncomingCall call, const Responder& responder);
  void StartCall(IncomingCall call, const Responder& responder, const proto::Route& route);
  CallSpec MakeSpec(const proto::Route& route, const IncomingCall& call) const;
  void Refuse(HttpResponder& responder, int http_status, const std::string& code,
              const std::string& message, Duration retry_after);
  void OnCallFinished(std::uint64_t number, const std::string& route);

  CallContext context_;
  const GatewayOptions& options_;
  std::unordered_map<std::uint64_t, std::shared_ptr<LiveForward>> calls_;
  ConfigurationWaitQueue wait_queue_;
  std::uint64_t next_call_number_ = 1;
};

}  // namespace cloverbank

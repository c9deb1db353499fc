#pragma once
/// @file
/// Live calls of the HTTP routes: finds the route of a request by host and path, admits the call,
/// and runs it with a `CallRunner`. The platform's client interface parses the requests.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "calls/call_runner.h"
#include "calls/forward_exchange.h"
#include "calls/gateway_options.h"
#include "gateway/configuration_wait_queue.h"
#include "gateway/incoming_call.h"
#include "gateway/stop_schedule.h"
#include "net/http_types.h"

namespace cloverbank {

class LiveForward;

class ForwardingService {
 public:
  ForwardingService(const CallContext& context, const GatewayOptions& options);
  ~ForwardingService();
  ForwardingService(const ForwardingService&) = delete;
  ForwardingService& operator=(const ForwardingService&) = delete;

  /// Runs a call, and responds with a replica's response or with an error that says whether the
  /// request was executed. A call that arrives without a configuration or a valid lease waits for
  /// them for a short time.
  void Handle(IncomingCall call, const std::shared_ptr<HttpResponder>& responder);

  /// Runs when a new configuration is in use: admits the calls that waited for one.
  void OnConfiguration();

  /// @return the route of `host` and `path`, or nullptr.
  const proto::Route* FindRouteFor(std::string_view host, std::string_view path) const;

  /// From `schedule.admits_until` on refuses calls that might not end before the process does.
  void Drain(const StopSchedule& schedule) { stop_ = schedule; }
  /// Gives every call an answer whose response has not begun, because the process is about to end.
  void EndUnansweredCalls();

  std::size_t calls_in_flight() const { return calls_.size(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  /// Whether this gateway has a labelled configuration and may serve by it.
  bool CanServe() const;
  void WaitForConfiguration(IncomingCall call, const Responder& responder);
  void RefuseWithoutConfiguration(HttpResponder& responder);
  void Admit(IncomingCall call, const Responder& responder);
  /// Whether the process may end before a call that is admitted now.
  bool MayOutlastProcess(const proto::Route& route, const IncomingCall& call) const;
  void RefuseUnknownRoute(const IncomingCall& call, const Responder& responder);
  void StartCall(IncomingCall call, const Responder& responder, const proto::Route& route);
  /// @return when a call that is admitted now ends at the latest.
  TimePoint DeadlineOf(const proto::Route& route, const IncomingCall& call) const;
  CallSpec MakeSpec(const proto::Route& route, const IncomingCall& call) const;
  /// Sends an error of a request that was not executed. @param retry_after zero: the default of
  /// `SendRefusal`.
  void Refuse(HttpResponder& responder, int http_status, const std::string& code,
              const std::string& message, Duration retry_after);
  void OnCallFinished(std::uint64_t number, const std::string& route);

  CallContext context_;
  const GatewayOptions& options_;
  std::unordered_map<std::uint64_t, std::shared_ptr<LiveForward>> calls_;
  ConfigurationWaitQueue wait_queue_;
  std::uint64_t next_call_number_ = 1;
  std::optional<StopSchedule> stop_;
};

}  // namespace cloverbank

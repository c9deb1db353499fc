#pragma once
/// @file
/// Live calls of the HTTP routes: finds the route of a request by host and path, admits it, and
/// passes it on through the one call path. How requests look on the wire is the front interface's
/// matter; it hands in typed calls.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "gateway/call_runner.h"
#include "gateway/forward_exchange.h"
#include "gateway/gateway_options.h"
#include "net/http_types.h"

namespace cloverbank {

class LiveForward;

/// A request as a front interface read it.
struct IncomingCall {
  std::string host;
  std::string path;  ///< Without the query, as it came.
  std::string call_id;
  std::string prefix_key;
  std::optional<Duration> patience;  ///< How long the caller will wait; unset: not told.
  proto::ForwardedRequest request;
};

class ForwardingService {
 public:
  ForwardingService(const CallContext& context, const GatewayOptions& options);
  ~ForwardingService();
  ForwardingService(const ForwardingService&) = delete;
  ForwardingService& operator=(const ForwardingService&) = delete;

  /// Answers with a replica's answer, or with an error that says whether anything ran.
  void Handle(IncomingCall call, const std::shared_ptr<HttpResponder>& responder);

  /// @return the route that `path` of `host` belongs to, or nullptr.
  const proto::Route* FindRouteOf(std::string_view host, std::string_view path) const;

  std::size_t calls_under_way() const { return calls_.size(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  CallSpec MakeSpec(const proto::Route& route, const IncomingCall& call) const;
  void Refuse(HttpResponder& responder, int http_status, const std::string& code,
              const std::string& message, Duration retry_after);
  void OnCallOver(std::uint64_t number, const std::string& route);

  CallContext context_;
  const GatewayOptions& options_;
  std::unordered_map<std::uint64_t, std::shared_ptr<LiveForward>> calls_;
  std::uint64_t next_call_ = 1;
};

}  // namespace cloverbank

#pragma once
/// @file
/// HTTP/1.1 server over Boost.Beast. Bounds what one client can use: connections, header and body
/// sizes, and the time a slow reader or writer may hold a connection.
///
/// Threads: the loop's thread only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/metrics.h"
#include "net/event_loop.h"
#include "net/fault_injector.h"
#include "net/http_types.h"

namespace cloverbank {

struct HttpServerOptions {
  Endpoint listen = {};  ///< Port 0 takes any free port.
  std::size_t maximum_connections = 4096;
  std::uint32_t maximum_header_bytes = 16U << 10U;
  std::uint64_t maximum_body_bytes = 4ULL << 20U;
  Duration idle_timeout = seconds(75);  ///< Between two requests of a connection.
  Duration header_timeout =
      seconds(10);                       ///< From a request's first byte to the end of its headers.
  Duration body_timeout = seconds(30);   ///< For the rest of a request.
  Duration write_timeout = seconds(30);  ///< For the client to read what was written.
  /// For a caller with an idle connection to send a request that crosses the beginning of a drain:
  /// it is answered with a close, instead of finding its connection closed.
  Duration drain_idle_grace = milliseconds(300);
};

/// Bounds on the requests of one client; zero leaves a bound unchanged.
struct CallerBounds {
  std::uint32_t maximum_header_bytes = 0;
  std::uint64_t maximum_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

struct HttpServerShared;

class BeastHttpServer : public HttpRouter {
 public:
  /// @param faults may be nullptr.
  BeastHttpServer(EventLoop& loop, HttpServerOptions options, Metrics& metrics,
                  const FaultInjector* faults);
  /// Closes the listener and every connection.
  ~BeastHttpServer() override;
  BeastHttpServer(const BeastHttpServer&) = delete;
  BeastHttpServer& operator=(const BeastHttpServer&) = delete;

  void Handle(std::string_view method, std::string_view pattern, HttpHandler handler) override;

  /// Serves every request that no pattern matches, or whose target is not a well-formed path. Only
  /// the raw target of such a request is certain to be set.
  void HandleOther(HttpHandler handler);
  /// Replaces what bounds one caller, for requests that begin from now on.
  void SetBounds(const CallerBounds& bounds);

  /// Begins to accept. @return kIoError if the address can not be listened on.
  Status Listen();
  /// @return where it listens, with the real port.
  const Endpoint& endpoint() const;

  /// Closes each connection after the current or the next response; keeps accepting.
  void EndConnections();
  /// Stops accepting, lets responses in progress complete and closes idle connections after
  /// `drain_idle_grace`; `idle` runs once there are no answers under way after it.
  void Drain(std::function<void()> idle);
  /// @return requests whose answers are not complete.
  std::size_t calls_in_progress() const;

 private:
  struct Listener;
  std::shared_ptr<HttpServerShared> shared_;
  std::shared_ptr<Listener> listener_;
};

/// The servers of a gateway's front interfaces, apart from its own; each may be nullptr.
struct FrontServers {
  BeastHttpServer* calls = nullptr;    ///< Callers.
  BeastHttpServer* ready = nullptr;    ///< Readiness checks of the platform.
  BeastHttpServer* control = nullptr;  ///< Operators.
};

}  // namespace cloverbank

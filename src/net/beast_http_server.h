#pragma once
/// @file
/// HTTP/1.1 server over Boost.Beast. It limits the number of connections, the sizes of headers and
/// bodies, and how long a client that reads or writes slowly can hold a connection.
///
/// Threads: use only on the event loop's thread; handlers and callbacks run there.

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
  Duration idle_timeout = seconds(75);  ///< Longest time between two requests of a connection.
  /// From a request's first byte to the end of its headers.
  Duration header_timeout = seconds(10);
  /// From the end of a request's headers to the end of its body.
  Duration body_timeout = seconds(30);
  /// For one write: how long the client may take to read it.
  Duration write_timeout = seconds(30);
  /// How long `Drain` leaves idle connections open, so that a request that a client sends just as
  /// the drain begins gets a response with "Connection: close" instead of a closed connection.
  Duration drain_idle_grace = milliseconds(300);
};

/// Limits for each client's requests; a field that is zero leaves that limit unchanged.
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

  /// Sets the handler for every request that no pattern matches or whose target is not a
  /// well-formed path. `path` and `query` of a request with a malformed target are empty; `target`
  /// is always set.
  void HandleOther(HttpHandler handler);
  /// Replaces the limits for requests that begin from now on.
  void SetBounds(const CallerBounds& bounds);

  /// Starts to accept connections. @return kInvalidArgument if the host is not an IP address,
  /// kIoError if listening on it fails.
  Status Listen();
  /// @return the endpoint the server listens on, with the port that the system chose for port 0.
  const Endpoint& endpoint() const;

  /// Makes the server close each connection after the response in progress or the next one. It
  /// still accepts connections.
  void EndConnections();
  /// Stops accepting connections, answers the requests that are being received or answered, and
  /// closes idle connections after `drain_idle_grace`. `idle` runs once on the loop, when that time
  /// has passed and no further request can come.
  void Drain(std::function<void()> idle);
  /// @return the number of requests whose responses are not complete.
  std::size_t calls_in_progress() const;

 private:
  struct Listener;
  std::shared_ptr<HttpServerShared> shared_;
  std::shared_ptr<Listener> listener_;
};

/// The servers of a gateway's front interfaces, besides the gateway's own server; each may be
/// nullptr.
struct FrontServers {
  BeastHttpServer* calls = nullptr;    ///< Serves callers.
  BeastHttpServer* ready = nullptr;    ///< Serves the platform's readiness checks.
  BeastHttpServer* control = nullptr;  ///< Serves operators.
};

}  // namespace cloverbank

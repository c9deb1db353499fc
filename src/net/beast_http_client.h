#pragma once
/// @file
/// HTTP/1.1 client over Boost.Beast, with a pool of idle connections for each endpoint. Outgoing
/// sockets are bound to the process's own address, because peers identify a machine by its IP
/// address.
///
/// Outcomes: a call is kNotSent only if certainly no byte of the request was passed to the
/// operating system; a call that reaches its deadline while the request is being written is
/// kUnknown. If a pooled connection proves closed before the first byte is written, the call opens
/// a new connection, once. A close-delimited response (neither Content-Length nor chunked) cannot
/// be distinguished from a truncated one and is kUnknown, unless the request sets
/// `accept_unframed`.
///
/// Threads: use only on the event loop's thread; callbacks run there.

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/fault_injector.h"
#include "net/http_types.h"

namespace cloverbank {

struct HttpClientOptions {
  std::string local_address = {};  ///< IP address to bind to; empty lets the system choose.
  Duration connect_timeout = seconds(1);
  /// Connections that were idle for longer are closed. Keep this below the servers' idle timeout.
  Duration idle_timeout = seconds(15);
  std::size_t maximum_idle_per_endpoint = 64;
  /// For all endpoints together; connections beyond it are closed after their call.
  std::size_t maximum_idle = 1024;
  std::uint32_t maximum_header_bytes = 64U << 10U;
  /// Limit for responses of `Call`; a larger response ends as kUnknown. `Stream` has no limit.
  std::uint64_t maximum_body_bytes = 64ULL << 20U;
};

struct HttpClientShared;

class BeastHttpClient : public HttpClient {
 public:
  /// @param faults may be nullptr.
  BeastHttpClient(EventLoop& loop, HttpClientOptions options, const FaultInjector* faults);
  /// Cancels all calls in progress.
  ~BeastHttpClient() override;
  BeastHttpClient(const BeastHttpClient&) = delete;
  BeastHttpClient& operator=(const BeastHttpClient&) = delete;

  std::shared_ptr<HttpCall> Call(const Endpoint& to, HttpRequest request, Duration deadline,
                                 std::function<void(HttpOutcome)> done) override;
  /// `idle_limit` also applies to the wait for the response's headers.
  std::shared_ptr<HttpCall> Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                                   Duration idle_limit, HttpStreamCallbacks callbacks) override;

  /// Cancels all calls in progress; none of their callbacks runs afterwards.
  void CancelAll();

  /// @return the number of connections kept open for later calls.
  std::size_t idle_connection_count() const;

 private:
  std::shared_ptr<HttpClientShared> shared_;
};

}  // namespace cloverbank

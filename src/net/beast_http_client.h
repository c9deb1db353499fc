#pragma once
/// @file
/// HTTP/1.1 client over Boost.Beast, with a pool of idle connections for each endpoint. Outgoing
/// sockets are bound to the process's own address, so that a machine is known by its IP number.
///
/// What an outcome promises: kNotSent only if certainly no byte of the request was passed to the
/// system; a call that ends at its deadline while it was being written is kUnknown. A pooled
/// connection that turns out closed before the first byte is written is replaced by a fresh one,
/// once. Answers that only end with the connection (neither length nor chunks) can not be told from
/// cut ones and are kUnknown.
///
/// Threads: the loop's thread only.

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/fault_injector.h"
#include "net/http_types.h"

namespace cloverbank {

struct HttpClientOptions {
  std::string local_address = {};  ///< IP number to bind to; empty lets the system choose.
  Duration connect_timeout = seconds(1);
  /// Idle connections older than this are closed. Keep it below the servers' idle timeout.
  Duration idle_timeout = seconds(15);
  std::size_t maximum_idle_per_endpoint = 64;
  std::size_t maximum_idle = 1024;  ///< Of all endpoints; further ones are closed after their call.
  std::uint32_t maximum_header_bytes = 64U << 10U;
  /// Of complete responses; streamed ones are unbounded. A larger one ends as kUnknown.
  std::uint64_t maximum_body_bytes = 64ULL << 20U;
};

struct HttpClientShared;

class BeastHttpClient : public HttpClient {
 public:
  /// @param faults may be nullptr.
  BeastHttpClient(EventLoop& loop, HttpClientOptions options, const FaultInjector* faults);
  /// Cancels the calls under way.
  ~BeastHttpClient() override;
  BeastHttpClient(const BeastHttpClient&) = delete;
  BeastHttpClient& operator=(const BeastHttpClient&) = delete;

  std::shared_ptr<HttpCall> Call(const Endpoint& to, HttpRequest request, Duration deadline,
                                 std::function<void(HttpOutcome)> done) override;
  /// The idle limit also covers the wait for the head of the answer.
  std::shared_ptr<HttpCall> Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                                   Duration idle_limit, HttpStreamCallbacks callbacks) override;

  /// Cancels the calls under way: none of their callbacks runs any more.
  void CancelAll();

  /// @return connections kept open for later calls.
  std::size_t idle_connection_count() const;

 private:
  std::shared_ptr<HttpClientShared> shared_;
};

}  // namespace cloverbank

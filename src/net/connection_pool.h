#pragma once
/// @file
/// Pool of the idle connections of `BeastHttpClient`. Internal to net/, because it exposes Boost
/// types.
///
/// Threads: use only on the event loop's thread.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "net/beast_http_client.h"

namespace cloverbank {

struct ClientConnection {
  explicit ClientConnection(boost::asio::io_context& context) : socket(context) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since;
  bool reused = false;  ///< Was in the pool before.
};

class ConnectionPool {
 public:
  ConnectionPool(Duration idle_timeout, std::size_t maximum_idle_per_endpoint,
                 std::size_t maximum_idle)
      : idle_timeout_(idle_timeout),
        maximum_idle_per_endpoint_(maximum_idle_per_endpoint),
        maximum_idle_(maximum_idle) {}

  /// Removes and returns the most recently used connection to `endpoint` that has not expired and
  /// that the peer has not closed, or returns nullptr.
  std::unique_ptr<ClientConnection> Take(const Endpoint& endpoint);
  /// Adds a connection whose last call ended with a complete response, unless the pool is full.
  /// If the endpoint then has too many idle connections, closes the one that is idle longest.
  void Put(const Endpoint& endpoint, std::unique_ptr<ClientConnection> connection);
  /// Closes the idle connections to `endpoint`, after a call to it timed out.
  void CloseConnectionsTo(const Endpoint& endpoint) { idle_.erase(endpoint); }
  /// Closes connections that were idle for the idle timeout.
  void Sweep();
  /// @return the number of idle connections to all endpoints.
  std::size_t size() const;

 private:
  Duration idle_timeout_;
  std::size_t maximum_idle_per_endpoint_;
  std::size_t maximum_idle_;
  std::unordered_map<Endpoint, std::deque<std::unique_ptr<ClientConnection>>> idle_;
};

/// State that all calls of one client share.
struct HttpClientShared : std::enable_shared_from_this<HttpClientShared> {
  HttpClientShared(EventLoop& loop_, HttpClientOptions options_, const FaultInjector* faults_)
      : loop(loop_),
        options(std::move(options_)),
        faults(faults_),
        pool(options.idle_timeout, options.maximum_idle_per_endpoint, options.maximum_idle) {}
  ~HttpClientShared() { loop.CancelTimer(sweep_timer); }
  HttpClientShared(const HttpClientShared&) = delete;
  HttpClientShared& operator=(const HttpClientShared&) = delete;

  bool IsBlocked(const Endpoint& endpoint) const {
    return faults != nullptr && faults->IsBlocked(endpoint.host);
  }
  /// Puts a connection back into the pool and schedules `Sweep`, which repeats as long as the pool
  /// holds any connection.
  void ReturnToPool(const Endpoint& endpoint, std::unique_ptr<ClientConnection> connection);

  EventLoop& loop;
  HttpClientOptions options;
  const FaultInjector* faults;
  ConnectionPool pool;
  std::unordered_set<HttpCall*> active_calls;  ///< Calls that were started and have not ended.
  TimerId sweep_timer = 0;

 private:
  void ScheduleSweep();
};

}  // namespace cloverbank

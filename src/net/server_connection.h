#pragma once
/// @file
/// One accepted connection of `BeastHttpServer`. Internal to net/, because it exposes Boost types.
///
/// A connection reads one request at a time, passes it to its handler and writes the response.
/// While the response is in progress it keeps a read pending, to detect that the client
/// disconnects.
///
/// Threads: use only on the event loop's thread.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "net/beast_http_server.h"
#include "net/route_table.h"
#include "net/url.h"

namespace cloverbank {

class ServerConnection;

/// State that all connections of one server share.
struct HttpServerShared {
  HttpServerShared(EventLoop& loop_, HttpServerOptions options_, Metrics& metrics_,
                   const FaultInjector* faults_)
      : loop(loop_), options(std::move(options_)), metrics(metrics_), faults(faults_) {}

  bool IsBlocked(const std::string& address) const {
    return faults != nullptr && faults->IsBlocked(address);
  }
  /// Posts the callback of `Drain` if the grace time for idle connections has passed and no
  /// connection is left on which a request could still come, be read or be answered.
  void NotifyIfIdle();

  EventLoop& loop;
  HttpServerOptions options;
  Metrics& metrics;
  const FaultInjector* faults;
  RouteTable routes;
  HttpHandler unmatched_handler;  ///< For requests that no route matches; may be empty.
  std::unordered_set<ServerConnection*> connections;
  std::list<ServerConnection*> idle;  ///< Connections between requests, the longest idle one first.
  std::size_t calls_in_progress = 0;
  bool draining = false;  ///< Responses close their connections; no new ones are accepted.
  bool ending_connections = false;  ///< Responses close their connections.
  TimerId drain_timer = 0;
  std::function<void()> on_idle;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<HttpServerShared> shared, boost::asio::ip::tcp::socket socket,
                   std::string peer_address);

  void Start();
  /// Responds with 503 and closes the connection, without reading a request.
  void RefuseAsOverloaded();
  /// Closes the connection now. The callbacks of a response in progress run later on the loop.
  void Close();
  /// Closes the connection if it is waiting for a request.
  void CloseIfIdle();
  /// Whether a request is awaited, received or answered on this connection.
  bool ServesRequests() const {
    return state_ == State::kIdle || state_ == State::kReading || state_ == State::kResponding;
  }

  // Called by the responder. `request_number` counts the requests of this connection; calls for
  // any request but the current one are ignored.
  void Send(std::uint64_t request_number, HttpResponse response);
  void StartStream(std::uint64_t request_number, int status, const HttpHeaders& headers);
  void WriteChunk(std::uint64_t request_number, const std::string& chunk,
                  std::function<void(bool alive)> written);
  void FinishStream(std::uint64_t request_number);
  void Abort(std::uint64_t request_number);
  void OnDisconnect(std::uint64_t request_number, std::function<void()> on_disconnect);
  /// Handles a destroyed responder: if the response was not started, sends 500; if it is
  /// incomplete, closes the connection.
  void OnResponderDestroyed(std::uint64_t request_number);

 private:
  enum class State : std::uint8_t {
    kIdle,        ///< Between requests.
    kReading,     ///< A request is being received.
    kResponding,  ///< A handler has the request, or its response is being written.
    kLingering,   ///< Everything is written; waits for the client to close.
    kBlackholed,  ///< Fault injection blocks the client: reads and discards.
    kClosed,
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  struct OutgoingChunk {
    std::string bytes;
    std::function<void(bool alive)> written;
  };

  /// @return whether `request_number` is the current request and its response is not complete.
  bool IsCurrent(std::uint64_t request_number) const;
  /// Starts a read whose completion shows either new bytes or that the client disconnected.
  void WatchForBytes();
  void OnWatched(const boost::system::error_code& error, std::size_t size);
  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void ReadBody();
  void OnRequest(const boost::system::error_code& error);
  /// Responds with 400, 413 or 431 if the parser rejected the request; otherwise closes the
  /// connection.
  void RefuseRequest(const boost::system::error_code& error);
  void RefuseAndClose(int http_status, std::string_view code, std::string_view message);
  /// Passes the complete request to its handler.
  void Dispatch();
  /// Moves the request out of the parser. @param target std::nullopt if it is not well-formed.
  HttpRequest TakeRequest(std::optional<RequestTarget> target);
  void BeginResponse(bool keep_alive, bool head_request);
  void RefuseUnrouted(const HttpRequest& request, bool path_known);
  void Enqueue(std::string bytes, std::function<void(bool alive)> written);
  void WriteNext();
  void OnWritten(const boost::system::error_code& error);
  void FinishResponse();
  void BecomeIdle();
  void LeaveIdle();
  /// Ends the sending side and waits for the client to close, so that it can read the response.
  void Linger();
  /// Posts the `written` callbacks of all unwritten chunks with false.
  void FailPendingWrites();
  void ArmTimer(Duration timeout);
  void DisarmTimer();

  std::shared_ptr<HttpServerShared> shared_;
  boost::asio::ip::tcp::socket socket_;
  std::string peer_address_;
  State state_ = State::kIdle;
  std::optional<std::list<ServerConnection*>::iterator> idle_position_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool watching_ = false;  ///< A read is pending in `WatchForBytes`.
  TimerId timer_ = 0;      ///< Closes the connection when its current state lasts too long.

  std::uint64_t request_number_ = 0;
  bool head_request_ = false;
  bool keep_alive_ = false;
  bool response_started_ = false;
  bool response_complete_ = false;  ///< The whole response is queued.
  std::function<void()> on_disconnect_;

  bool writing_ = false;
  std::deque<OutgoingChunk> in_flight_;  ///< Passed to the socket.
  std::deque<OutgoingChunk> queue_;      ///< Waits until `in_flight_` is written.
};

}  // namespace cloverbank

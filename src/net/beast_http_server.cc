#include "net/beast_http_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "net/server_connection.h"

namespace cloverbank {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Delay after a failed accept (e.g. out of file descriptors), so that the loop does not spin.
constexpr Duration kAcceptRetryDelay = milliseconds(100);
/// How many connections beyond the limit get a 503 response at a time; further ones are closed
/// without a response.
constexpr std::size_t kMaximumRefusalsInProgress = 256;

Status IoError(const std::string& action, const Endpoint& endpoint, const error_code& error) {
  return {StatusCode::kIoError, action + " " + endpoint.ToString() + ": " + error.message()};
}

/// @return a copy of the set, because closing a connection removes it from the set.
std::vector<ServerConnection*> OpenConnections(const HttpServerShared& shared) {
  return {shared.connections.begin(), shared.connections.end()};
}

}  // namespace

struct BeastHttpServer::Listener : std::enable_shared_from_this<BeastHttpServer::Listener> {
  explicit Listener(std::shared_ptr<HttpServerShared> shared_state)
      : shared(std::move(shared_state)), acceptor(shared->loop.io_context()) {}

  Status Open() {
    Endpoint& listen = shared->options.listen;
    error_code error;
    const auto address = asio::ip::make_address(listen.host, error);
    if (error) {
      return {StatusCode::kInvalidArgument,
              "the listen address is not an IP address: " + listen.host};
    }
    const tcp::endpoint endpoint(address, listen.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
      acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor.bind(endpoint, error);
    }
    if (!error) {
      acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return IoError("cannot listen on", listen, error);
    }
    listen.port = acceptor.local_endpoint(error).port();
    return Status::Ok();
  }

  void Accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
      self->OnAccepted(error, std::move(socket));
    });
  }

  void OnAccepted(const error_code& error, tcp::socket socket) {
    if (!acceptor.is_open()) {
      return;
    }
    if (error) {
      Log(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
      retry_timer = shared->loop.ScheduleAfter(kAcceptRetryDelay,
                                               [self = shared_from_this()] { self->Accept(); });
      return;
    }
    Serve(std::move(socket));
    Accept();
  }

  void Serve(tcp::socket socket) {
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    const tcp::endpoint peer = socket.remote_endpoint(error);
    if (error) {
      return;  // The client has already disconnected.
    }
    const std::size_t limit = shared->options.maximum_connections;
    if (shared->connections.size() >= limit && !shared->idle.empty()) {
      // Idle connections may belong to clients that no longer exist: close the longest idle one to
      // make room.
      shared->metrics.Increment("http_server_idle_connections_closed_total", {});
      shared->idle.front()->Close();
    }
    const std::size_t open = shared->connections.size();
    if (open >= limit + kMaximumRefusalsInProgress) {
      shared->metrics.Increment("http_server_refusals_total", {{"reason", "connection_flood"}});
      return;
    }
    const auto connection =
        std::make_shared<ServerConnection>(shared, std::move(socket), peer.address().to_string());
    if (open >= limit) {
      connection->RefuseAsOverloaded();
    } else {
      connection->Start();
    }
  }

  void Close() {
    shared->loop.CancelTimer(std::exchange(retry_timer, 0));
    error_code ignored;
    acceptor.close(ignored);
  }

  std::shared_ptr<HttpServerShared> shared;
  tcp::acceptor acceptor;
  TimerId retry_timer = 0;
};

BeastHttpServer::BeastHttpServer(EventLoop& loop, HttpServerOptions options, Metrics& metrics,
                                 const FaultInjector* faults)
    : shared_(std::make_shared<HttpServerShared>(loop, std::move(options), metrics, faults)),
      listener_(std::make_shared<Listener>(shared_)) {}

BeastHttpServer::~BeastHttpServer() {
  listener_->Close();
  shared_->loop.CancelTimer(shared_->drain_timer);
  for (ServerConnection* connection : OpenConnections(*shared_)) {
    connection->Close();
  }
}

void BeastHttpServer::Handle(std::string_view method, std::string_view pattern,
                             HttpHandler handler) {
  shared_->routes.Add(method, pattern, std::move(handler));
}

void BeastHttpServer::HandleOther(HttpHandler handler) {
  shared_->unmatched_handler = std::move(handler);
}

void BeastHttpServer::SetBounds(const CallerBounds& bounds) {
  const auto replace = [](auto bound, auto* option) {
    *option = bound > decltype(bound){} ? bound : *option;
  };
  replace(bounds.maximum_header_bytes, &shared_->options.maximum_header_bytes);
  replace(bounds.maximum_body_bytes, &shared_->options.maximum_body_bytes);
  replace(bounds.header_timeout, &shared_->options.header_timeout);
  replace(bounds.idle_timeout, &shared_->options.idle_timeout);
}

Status BeastHttpServer::Listen() {
  Status opened = listener_->Open();
  if (opened.ok()) {
    listener_->Accept();
  }
  return opened;
}

const Endpoint& BeastHttpServer::endpoint() const { return shared_->options.listen; }

void BeastHttpServer::EndConnections() { shared_->ending_connections = true; }

void BeastHttpServer::Drain(std::function<void()> idle) {
  listener_->Close();
  shared_->draining = true;
  shared_->on_idle = std::move(idle);
  shared_->drain_timer =
      shared_->loop.ScheduleAfter(shared_->options.drain_idle_grace, [shared = shared_] {
        shared->drain_timer = 0;
        for (ServerConnection* connection : OpenConnections(*shared)) {
          connection->CloseIfIdle();
        }
        shared->NotifyIfIdle();
      });
}

std::size_t BeastHttpServer::calls_in_progress() const { return shared_->calls_in_progress; }

}  // namespace cloverbank

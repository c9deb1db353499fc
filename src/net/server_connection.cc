#include "net/server_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "net/beast_message.h"
#include "net/http_error.h"
#include "net/server_responder.h"

namespace cloverbank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kWatchBytes = 4096;
constexpr std::size_t kMaximumReadBytes = 64U << 10U;
/// A larger read buffer is shrunk between requests.
constexpr std::size_t kMaximumRetainedBufferBytes = 16U << 10U;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view ToStringView(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

void HttpServerShared::NotifyIfIdle() {
  if (!draining || drain_timer != 0 || !on_idle) {
    return;
  }
  const bool serving =
      std::any_of(connections.begin(), connections.end(),
                  [](const ServerConnection* connection) { return connection->ServesRequests(); });
  if (!serving) {
    loop.Post(std::exchange(on_idle, nullptr));
  }
}

ServerConnection::ServerConnection(std::shared_ptr<HttpServerShared> shared,
                                   asio::ip::tcp::socket socket, std::string peer_address)
    : shared_(std::move(shared)),
      socket_(std::move(socket)),
      peer_address_(std::move(peer_address)),
      buffer_(shared_->options.maximum_header_bytes + kMaximumReadBytes) {}

void ServerConnection::Start() {
  shared_->connections.insert(this);
  BecomeIdle();
}

void ServerConnection::RefuseAsOverloaded() {
  shared_->connections.insert(this);
  RefuseAndClose(503, "too_many_connections", "the server has reached its connection limit");
}

void ServerConnection::CloseIfIdle() {
  if (state_ == State::kIdle) {
    Close();
  }
}

// ---- Reading ----

void ServerConnection::WatchForBytes() {
  watching_ = true;
  if (buffer_.capacity() > kMaximumRetainedBufferBytes) {
    buffer_.shrink_to_fit();
  }
  socket_.async_read_some(buffer_.prepare(kWatchBytes),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            self->OnWatched(error, size);
                          });
}

void ServerConnection::OnWatched(const error_code& error, std::size_t size) {
  watching_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  buffer_.commit(size);
  if (state_ == State::kIdle) {
    ReadHead();
  } else if (state_ == State::kLingering || state_ == State::kBlackholed) {
    buffer_.consume(buffer_.size());
    WatchForBytes();
  }
  // In kResponding the bytes belong to the next request: they stay in the buffer, and watching
  // stops.
}

void ServerConnection::LeaveIdle() {
  if (idle_position_) {
    shared_->idle.erase(*std::exchange(idle_position_, std::nullopt));
  }
}

void ServerConnection::ReadHead() {
  LeaveIdle();
  state_ = State::kReading;
  parser_.emplace();
  parser_->header_limit(shared_->options.maximum_header_bytes);
  parser_->body_limit(shared_->options.maximum_body_bytes);
  ArmTimer(shared_->options.header_timeout);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->OnHead(error); });
}

void ServerConnection::OnHead(const error_code& error) {
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    RefuseRequest(error);
    return;
  }
  ArmTimer(shared_->options.body_timeout);
  if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    ReadBody();
    return;
  }
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](const error_code& write_error, std::size_t) {
                      if (write_error) {
                        self->Close();
                      } else if (self->state_ == State::kReading) {
                        self->ReadBody();
                      }
                    });
}

void ServerConnection::ReadBody() {
  // Beast reads at most as much at a time as fits in the buffer.
  const std::uint64_t remaining = parser_->content_length_remaining().value_or(0);
  buffer_.reserve(buffer_.size() + std::min<std::uint64_t>(remaining, kMaximumReadBytes));
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](const error_code& error, std::size_t) {
                     self->OnRequest(error);
                   });
}

void ServerConnection::OnRequest(const error_code& error) {
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    RefuseRequest(error);
    return;
  }
  DisarmTimer();
  if (shared_->IsBlocked(peer_address_)) {
    state_ = State::kBlackholed;
    ArmTimer(shared_->options.idle_timeout);
    buffer_.consume(buffer_.size());
    WatchForBytes();
    return;
  }
  Dispatch();
}

void ServerConnection::RefuseRequest(const error_code& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    RefuseAndClose(431, "headers_too_large", "the headers exceed the server's limit");
  } else if (error == http::error::body_limit) {
    RefuseAndClose(413, "body_too_large", "the body exceeds the server's limit");
  } else if (error.category() == make_error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message) {
    RefuseAndClose(400, "malformed_request", error.message());
  } else {
    Close();
  }
}

void ServerConnection::RefuseAndClose(int http_status, std::string_view code,
                                      std::string_view message) {
  shared_->metrics.Increment("http_server_refusals_total", {{"reason", code}});
  state_ = State::kResponding;
  ++request_number_;
  ++shared_->calls_in_progress;
  keep_alive_ = false;
  head_request_ = false;
  response_started_ = false;
  response_complete_ = false;
  HttpResponse response = MakeErrorResponse(http_status, code, message, proto::EXECUTED_NO);
  if (http_status == 503) {
    response.headers.emplace_back("Retry-After", "1");
  }
  Send(request_number_, std::move(response));
}

void ServerConnection::Dispatch() {
  const http::request<http::string_body>& message = parser_->get();
  auto target = ParseRequestTarget(ToStringView(message.target()));
  if (!target && !shared_->unmatched_handler) {
    RefuseAndClose(400, "malformed_request", "the request target is not a well-formed path");
    return;
  }
  RouteTable::Match match;
  if (target) {
    match = shared_->routes.Find(ToStringView(message.method_string()), target->path);
  }
  HttpRequest request = TakeRequest(std::move(target));
  BeginResponse(message.keep_alive(), message.method() == http::verb::head);
  if (match.handler != nullptr) {
    (*match.handler)(std::move(request), MakeServerResponder(shared_from_this(), request_number_));
  } else if (shared_->unmatched_handler) {
    shared_->unmatched_handler(std::move(request),
                               MakeServerResponder(shared_from_this(), request_number_));
  } else {
    RefuseUnrouted(request, match.path_known);
  }
}

HttpRequest ServerConnection::TakeRequest(std::optional<RequestTarget> target) {
  http::request<http::string_body>& message = parser_->get();
  HttpRequest request;
  request.method = ToStringView(message.method_string());
  request.target = ToStringView(message.target());
  if (target) {
    request.path = std::move(target->path);
    request.query = std::move(target->query);
  }
  request.headers = ToHttpHeaders(message);
  request.peer_address = peer_address_;
  request.body = std::move(message.body());
  return request;
}

void ServerConnection::BeginResponse(bool keep_alive, bool head_request) {
  keep_alive_ = keep_alive && !shared_->draining && !shared_->ending_connections;
  head_request_ = head_request;
  state_ = State::kResponding;
  ++request_number_;
  ++shared_->calls_in_progress;
  response_started_ = false;
  response_complete_ = false;
  if (buffer_.size() == 0) {
    WatchForBytes();
  }
}

void ServerConnection::RefuseUnrouted(const HttpRequest& request, bool path_known) {
  shared_->metrics.Increment("http_server_refusals_total", {{"reason", "no_route"}});
  Send(request_number_,
       path_known ? MakeErrorResponse(405, "method_not_allowed",
                                      "this path does not support the method " + request.method,
                                      proto::EXECUTED_NO)
                  : MakeErrorResponse(404, "not_found",
                                      "nothing is registered at the path " + request.path,
                                      proto::EXECUTED_NO));
}

// ---- Timers and closing ----

void ServerConnection::ArmTimer(Duration timeout) {
  DisarmTimer();
  timer_ = shared_->loop.ScheduleAfter(timeout, [self = shared_from_this()] {
    self->timer_ = 0;
    self->shared_->metrics.Increment("http_server_timeouts_total");
    self->Close();
  });
}

void ServerConnection::DisarmTimer() { shared_->loop.CancelTimer(std::exchange(timer_, 0)); }

void ServerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const bool responding = state_ == State::kResponding;
  const auto self = shared_from_this();
  state_ = State::kClosed;
  LeaveIdle();
  DisarmTimer();
  error_code ignored;
  socket_.close(ignored);
  shared_->connections.erase(this);
  FailPendingWrites();
  if (on_disconnect_) {
    shared_->loop.Post(std::exchange(on_disconnect_, nullptr));
  }
  if (responding) {
    --shared_->calls_in_progress;
  }
  shared_->NotifyIfIdle();
}

void ServerConnection::FailPendingWrites() {
  // Keep the bytes in flight: the socket's pending operation may still refer to them.
  for (auto* chunks : {&in_flight_, &queue_}) {
    for (OutgoingChunk& chunk : *chunks) {
      if (chunk.written) {
        shared_->loop.Post(
            [written = std::exchange(chunk.written, nullptr)] { written(/*alive=*/false); });
      }
    }
  }
  queue_.clear();
}

}  // namespace cloverbank

#include "net/client_call.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <utility>

#include "base/logging.h"
#include "net/beast_message.h"
#include "net/url.h"

namespace cloverbank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
constexpr int kFirstFinalStatus = 200;
constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kChunkBytes = 16U << 10U;  ///< Size of one read of a body of unknown length.
constexpr std::size_t kMaximumChunkBytes = 256U << 10U;

http::request<http::string_body> ToBeast(const Endpoint& to, HttpRequest request) {
  http::request<http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  if (request.target.empty()) {
    message.target(FormatRequestTarget(request.path, request.query));
    message.set(http::field::host, to.ToString());
  } else {
    message.target(request.target);
    const std::string_view host = FindHeader(request.headers, "Host");
    message.set(http::field::host, host.empty() ? to.ToString() : std::string(host));
    std::erase_if(request.headers,
                  [](const auto& header) { return boost::beast::iequals(header.first, "Host"); });
  }
  AddHeaders(request.headers, &message);
  message.keep_alive(true);
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

/// Opens `socket` for `to` and binds it to `local_address`, unless that is empty. The system
/// chooses the local port only at connect (IP_BIND_ADDRESS_NO_PORT), so that connections to
/// different peers can share a port.
error_code OpenAndBind(const tcp::endpoint& to, const std::string& local_address,
                       tcp::socket& socket) {
  error_code error;
  socket.open(to.protocol(), error);
  if (!error) {
    socket.set_option(tcp::no_delay(true), error);
  }
  if (error || local_address.empty()) {
    return error;
  }
  const auto local = asio::ip::make_address(local_address, error);
  if (error) {
    return error;
  }
  const int enabled = 1;
  setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled,
             sizeof(enabled));
  socket.bind(tcp::endpoint(local, 0), error);
  return error;
}

}  // namespace

ClientCall::ClientCall(std::shared_ptr<HttpClientShared> shared, Endpoint to, HttpRequest request,
                       ClientCallLimits limits, HttpStreamCallbacks callbacks)
    : shared_(std::move(shared)),
      to_(std::move(to)),
      limits_(limits),
      can_send_(std::move(request.can_send)),
      accept_close_delimited_(request.accept_unframed),
      new_connection_(request.new_connection),
      connect_timeout_(request.connect_timeout > Duration::zero()
                           ? request.connect_timeout
                           : shared_->options.connect_timeout),
      callbacks_(std::make_shared<HttpStreamCallbacks>(std::move(callbacks))) {
  request_ = ToBeast(to_, std::move(request));
}

void ClientCall::Start() {
  shared_->active_calls.insert(this);
  deadline_timer_ = shared_->loop.ScheduleAfter(limits_.deadline, [self = shared_from_this()] {
    self->deadline_timer_ = 0;
    self->OnDeadline();
  });
  shared_->loop.Post([self = shared_from_this()] {
    if (self->callbacks_) {
      self->Begin();
    }
  });
}

void ClientCall::Cancel() {
  const auto self = shared_from_this();
  const auto callbacks = std::exchange(callbacks_, nullptr);
  if (!callbacks) {
    return;
  }
  shared_->active_calls.erase(this);
  can_send_ = nullptr;
  EndTimers();
  CloseConnection();
}

void ClientCall::Begin() {
  if (shared_->IsBlocked(to_)) {
    may_have_sent_ = true;  // Behave as if the bytes were lost in the network.
    return;
  }
  connection_ = new_connection_ ? nullptr : shared_->pool.Take(to_);
  if (connection_) {
    Write();
  } else {
    Connect();
  }
}

// ---- Sending ----

void ClientCall::Connect() {
  error_code error;
  const auto address = asio::ip::make_address(to_.host, error);
  if (error) {
    Finish(HttpOutcomeKind::kNotSent, "not an IP address: " + to_.host);
    return;
  }
  const tcp::endpoint endpoint(address, to_.port);
  connection_ = std::make_unique<ClientConnection>(shared_->loop.io_context());
  error = OpenAndBind(endpoint, shared_->options.local_address, connection_->socket);
  if (error) {
    Finish(HttpOutcomeKind::kNotSent, "cannot open a socket: " + error.message());
    return;
  }
  ArmStepTimer(connect_timeout_,
               [this] { Finish(HttpOutcomeKind::kNotSent, "connect timed out"); });
  connection_->socket.async_connect(endpoint,
                                    [self = shared_from_this()](const error_code& connect_error) {
                                      self->OnConnected(connect_error);
                                    });
}

void ClientCall::OnConnected(const error_code& error) {
  if (!callbacks_) {
    return;
  }
  shared_->loop.CancelTimer(std::exchange(step_timer_, 0));
  if (error) {
    Finish(HttpOutcomeKind::kNotSent, "connect failed: " + error.message());
    return;
  }
  Write();
}

void ClientCall::Write() {
  // A copy, because `Cancel` from within the check clears the member.
  const auto check = can_send_;
  const bool allowed = !check || check();
  if (!callbacks_) {
    return;  // The check cancelled the call.
  }
  if (!allowed) {
    Finish(HttpOutcomeKind::kNotSent,
           "the permission to send ended before the request was written");
    return;
  }
  may_have_sent_ = true;
  connection_reused_ = connection_->reused;
  if (shared_->IsBlocked(to_)) {
    return;  // Fault injection blocked the peer after `Begin`.
  }
  http::async_write(connection_->socket, request_,
                    [self = shared_from_this()](const error_code& error, std::size_t size) {
                      self->OnWritten(error, size);
                    });
}

void ClientCall::OnWritten(const error_code& error, std::size_t size) {
  if (!callbacks_) {
    return;
  }
  if (!error) {
    ReadHead();
    return;
  }
  if (size > 0) {
    ReadHead();  // The peer may have responded before it received the whole request.
    return;
  }
  may_have_sent_ = false;
  if (connection_->reused) {
    // The peer closed the connection while it was idle in the pool.
    Log(LogLevel::kInfo, "pooled_connection_replaced",
        {{"peer", to_.ToString()}, {"error", error.message()}});
    Connect();
  } else {
    Finish(HttpOutcomeKind::kNotSent, "write failed: " + error.message());
  }
}

// ---- Receiving ----

void ClientCall::ReadHead() {
  parser_.emplace();
  parser_->header_limit(shared_->options.maximum_header_bytes);
  // Not boost::none: this version of Beast would take any Content-Length as exceeding it.
  parser_->body_limit(limits_.maximum_body > 0 ? limits_.maximum_body : kUnbounded);
  parser_->skip(request_.method() == http::verb::head);
  ArmStepTimer(limits_.idle_limit,
               [this] { FailAfterSending("no response within the idle limit"); });
  http::async_read_header(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->OnHead(error); });
}

void ClientCall::OnHead(const error_code& error) {
  if (!callbacks_) {
    return;
  }
  shared_->loop.CancelTimer(std::exchange(step_timer_, 0));
  if (error || shared_->IsBlocked(to_)) {
    FailAfterSending("reading the response headers failed: " + error.message());
    return;
  }
  status_ = static_cast<int>(parser_->get().result_int());
  const bool close_delimited = parser_->need_eof() && !parser_->is_done();
  if (status_ < kFirstFinalStatus || (close_delimited && !accept_close_delimited_)) {
    FailAfterSending(
        "the response is informational (1xx) or has neither Content-Length nor chunked encoding");
    return;
  }
  const auto callbacks = callbacks_;
  if (callbacks->on_head) {
    callbacks->on_head(status_, ToHttpHeaders(parser_->get()));
  }
  ContinueBody();
}

void ClientCall::ContinueBody() {
  if (!callbacks_) {
    return;
  }
  if (parser_->is_done()) {
    Finish(HttpOutcomeKind::kAnswered, "");
  } else {
    ReadBody();
  }
}

void ClientCall::ReadBody() {
  if (chunk_.empty()) {
    const auto length = parser_->content_length();
    chunk_.resize(length ? std::min<std::uint64_t>(*length, kMaximumChunkBytes) : kChunkBytes);
    // Beast reads at most as much at a time as fits in the buffer.
    connection_->buffer.reserve(chunk_.size());
  }
  auto& body = parser_->get().body();
  body.data = chunk_.data();
  body.size = chunk_.size();
  body.more = true;
  ArmStepTimer(limits_.idle_limit,
               [this] { FailAfterSending("no more bytes of the response within the idle limit"); });
  http::async_read_some(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->OnBody(error); });
}

void ClientCall::OnBody(const error_code& error) {
  if (!callbacks_) {
    return;
  }
  shared_->loop.CancelTimer(std::exchange(step_timer_, 0));
  const bool failed = error && error != http::error::need_buffer;
  if (failed || shared_->IsBlocked(to_)) {
    FailAfterSending("reading the response body failed: " + error.message());
    return;
  }
  const std::size_t received = chunk_.size() - parser_->get().body().size;
  const auto callbacks = callbacks_;
  if (received == 0 || !callbacks->on_bytes) {
    ContinueBody();
    return;
  }
  waiting_for_receiver_ = true;
  callbacks->on_bytes(std::string(chunk_.data(), received), [self = shared_from_this()] {
    if (std::exchange(self->waiting_for_receiver_, false)) {
      self->ContinueBody();
    }
  });
}

// ---- Completion ----

void ClientCall::FailAfterSending(const std::string& reason) {
  if (shared_->IsBlocked(to_)) {
    return;
  }
  Finish(HttpOutcomeKind::kUnknown, reason);
}

void ClientCall::OnDeadline() {
  if (!may_have_sent_) {
    Finish(HttpOutcomeKind::kNotSent, "deadline before the connection was established");
    return;
  }
  shared_->pool.CloseConnectionsTo(to_);
  Finish(HttpOutcomeKind::kUnknown, "deadline");
}

void ClientCall::Finish(HttpOutcomeKind kind, std::string reason) {
  const auto callbacks = std::exchange(callbacks_, nullptr);
  if (!callbacks) {
    return;
  }
  shared_->active_calls.erase(this);
  can_send_ = nullptr;
  EndTimers();
  const bool reusable = kind == HttpOutcomeKind::kAnswered && parser_->keep_alive() &&
                        connection_->buffer.size() == 0;
  HttpOutcome outcome;
  outcome.kind = kind;
  outcome.reason = std::move(reason);
  if (kind == HttpOutcomeKind::kAnswered) {
    outcome.response.status = status_;
    outcome.response.headers = ToHttpHeaders(parser_->get());
  }
  if (reusable) {
    connection_->buffer.shrink_to_fit();
    shared_->ReturnToPool(to_, std::move(connection_));
  } else {
    CloseConnection();
  }
  callbacks->on_end(std::move(outcome));
}

void ClientCall::ArmStepTimer(Duration timeout, std::function<void()> action) {
  if (timeout <= Duration::zero()) {
    return;
  }
  step_timer_ =
      shared_->loop.ScheduleAfter(timeout, [self = shared_from_this(), action = std::move(action)] {
        self->step_timer_ = 0;
        action();
      });
}

void ClientCall::EndTimers() {
  shared_->loop.CancelTimer(std::exchange(deadline_timer_, 0));
  shared_->loop.CancelTimer(std::exchange(step_timer_, 0));
}

void ClientCall::CloseConnection() {
  // Keep the object: a pending operation of the socket still refers to it.
  if (connection_) {
    error_code ignored;
    connection_->socket.close(ignored);
  }
}

}  // namespace cloverbank

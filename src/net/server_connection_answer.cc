// The part of ServerConnection that writes responses: the functions that the responder calls, and
// the write queue.
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <utility>
#include <vector>

#include "net/beast_message.h"
#include "net/http_error.h"
#include "net/server_connection.h"

namespace cloverbank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
/// How long a client may take to close its connection after the last response.
constexpr Duration kLingerTimeout = seconds(2);

http::response<http::empty_body> MakeHead(int status, const HttpHeaders& headers, bool keep_alive) {
  http::response<http::empty_body> head;
  head.version(kHttp11);
  head.result(static_cast<unsigned>(status));
  AddHeaders(headers, &head);
  head.keep_alive(keep_alive);
  return head;
}

}  // namespace

bool ServerConnection::IsCurrent(std::uint64_t request_number) const {
  return state_ == State::kResponding && request_number == request_number_ && !response_complete_;
}

void ServerConnection::Send(std::uint64_t request_number, HttpResponse response) {
  if (!IsCurrent(request_number) || response_started_) {
    return;
  }
  auto head = MakeHead(response.status, response.headers, keep_alive_);
  head.content_length(response.body.size());
  response_started_ = true;
  response_complete_ = true;
  queue_.push_back({SerializeResponseHead(head), nullptr});
  if (!head_request_ && !response.body.empty()) {
    queue_.push_back({std::move(response.body), nullptr});
  }
  WriteNext();
}

void ServerConnection::StartStream(std::uint64_t request_number, int status,
                                   const HttpHeaders& headers) {
  if (!IsCurrent(request_number) || response_started_) {
    return;
  }
  auto head = MakeHead(status, headers, keep_alive_);
  head.chunked(true);
  response_started_ = true;
  Enqueue(SerializeResponseHead(head), nullptr);
}

void ServerConnection::WriteChunk(std::uint64_t request_number, const std::string& chunk,
                                  std::function<void(bool alive)> written) {
  if (!IsCurrent(request_number) || !response_started_) {
    if (written) {
      shared_->loop.Post([written = std::move(written)] { written(/*alive=*/false); });
    }
    return;
  }
  // An empty chunk would end the response, so encode it as no bytes.
  std::string encoded;
  if (!chunk.empty()) {
    encoded = boost::beast::buffers_to_string(http::make_chunk(asio::buffer(chunk)));
  }
  Enqueue(std::move(encoded), std::move(written));
}

void ServerConnection::FinishStream(std::uint64_t request_number) {
  if (!IsCurrent(request_number) || !response_started_) {
    return;
  }
  response_complete_ = true;
  Enqueue(boost::beast::buffers_to_string(http::make_chunk_last()), nullptr);
}

void ServerConnection::Abort(std::uint64_t request_number) {
  if (IsCurrent(request_number)) {
    on_disconnect_ = nullptr;
    Close();
  }
}

void ServerConnection::OnDisconnect(std::uint64_t request_number,
                                    std::function<void()> on_disconnect) {
  if (state_ == State::kClosed && request_number == request_number_) {
    shared_->loop.Post(std::move(on_disconnect));
  } else if (IsCurrent(request_number)) {
    on_disconnect_ = std::move(on_disconnect);
  }
}

void ServerConnection::OnResponderDestroyed(std::uint64_t request_number) {
  if (!IsCurrent(request_number)) {
    return;
  }
  shared_->metrics.Increment("http_server_refusals_total", {{"reason", "handler_destroyed"}});
  if (response_started_) {
    Abort(request_number);
    return;
  }
  Send(request_number, MakeErrorResponse(500, "internal", "the server produced no response",
                                         proto::EXECUTED_UNKNOWN));
}

void ServerConnection::Enqueue(std::string bytes, std::function<void(bool alive)> written) {
  queue_.push_back({std::move(bytes), std::move(written)});
  WriteNext();
}

void ServerConnection::WriteNext() {
  if (writing_ || queue_.empty()) {
    return;
  }
  writing_ = true;
  in_flight_.swap(queue_);
  ArmTimer(shared_->options.write_timeout);
  if (shared_->IsBlocked(peer_address_)) {
    return;  // Behave as if the client read nothing, until the timer closes the connection.
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(in_flight_.size());
  for (const OutgoingChunk& chunk : in_flight_) {
    buffers.emplace_back(chunk.bytes.data(), chunk.bytes.size());
  }
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void ServerConnection::OnWritten(const error_code& error) {
  if (state_ == State::kClosed) {
    return;
  }
  DisarmTimer();
  if (error) {
    Close();
    return;
  }
  writing_ = false;
  std::deque<OutgoingChunk> written_chunks;
  written_chunks.swap(in_flight_);
  for (OutgoingChunk& chunk : written_chunks) {
    if (chunk.written) {
      chunk.written(/*alive=*/true);
    }
  }
  if (state_ != State::kResponding || writing_) {
    return;
  }
  if (!queue_.empty()) {
    WriteNext();
  } else if (response_complete_) {
    FinishResponse();
  }
}

void ServerConnection::FinishResponse() {
  on_disconnect_ = nullptr;
  --shared_->calls_in_progress;
  if (keep_alive_) {
    BecomeIdle();
  } else {
    Linger();
  }
  shared_->NotifyIfIdle();
}

void ServerConnection::BecomeIdle() {
  state_ = State::kIdle;
  if (buffer_.size() > 0) {
    ReadHead();
    return;
  }
  idle_position_ = shared_->idle.insert(shared_->idle.end(), this);
  // The response said that the connection stays open, so the next request may be on its way.
  ArmTimer(shared_->draining ? shared_->options.drain_idle_grace : shared_->options.idle_timeout);
  if (!watching_) {
    WatchForBytes();
  }
}

void ServerConnection::Linger() {
  state_ = State::kLingering;
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTimeout);
  buffer_.consume(buffer_.size());
  if (!watching_) {
    WatchForBytes();
  }
}

}  // namespace cloverbank

#pragma once
/// @file
/// Fakes of the HTTP interfaces on simulated time: a client whose calls are handled by scripts, a
/// responder that records the response to a caller, and a router that finds the handler.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

/// One outgoing call, as seen by the script that plays the server. After the call has ended or was
/// cancelled, nothing has an effect.
class FakeExchange : public HttpCall, public std::enable_shared_from_this<FakeExchange> {
 public:
  FakeExchange(Environment& environment, HttpRequest sent)
      : request(std::move(sent)), environment_(environment) {}

  void Cancel() override {
    cancelled = true;
    Close();
  }
  bool connection_reused() const override { return reused; }
  void Answer(HttpResponse response) {
    Head(response.status, response.headers);
    if (!over_ && callbacks.on_end == nullptr) {
      HttpOutcome outcome{HttpOutcomeKind::kAnswered, std::move(response), ""};
      Finish(std::move(outcome));
      return;
    }
    Bytes(response.body);
    End(HttpOutcomeKind::kAnswered);
  }
  void Head(int status, const HttpHeaders& headers) {
    if (!over_ && callbacks.on_head) {
      callbacks.on_head(status, headers);
    }
  }
  /// Queues bytes of the body. They are delivered when the reader asks for more.
  void Bytes(const std::string& bytes) {
    buffer_ += bytes;
    Deliver();
  }
  void End(HttpOutcomeKind kind, const std::string& reason = "") {
    ending_ = HttpOutcome{kind, {}, reason};
    if (kind != HttpOutcomeKind::kAnswered) {
      buffer_.clear();
    }
    Deliver();
  }
  bool over() const { return over_; }
  std::size_t unread() const { return buffer_.size(); }

  HttpRequest request;
  HttpStreamCallbacks callbacks;          ///< Of a streamed call.
  std::function<void(HttpOutcome)> done;  ///< Of a call that is not streamed.
  bool cancelled = false;
  bool reused = false;  ///< Whether the connection had carried other requests.

 private:
  void Deliver() {
    if (over_ || reading_) {
      return;
    }
    if (!buffer_.empty() && callbacks.on_bytes) {
      reading_ = true;
      const std::string bytes = std::exchange(buffer_, "");
      callbacks.on_bytes(bytes, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->environment_.ScheduleAfter(Duration::zero(), [self] {
            self->reading_ = false;
            self->Deliver();
          });
        }
      });
      return;
    }
    if (ending_) {
      Finish(*ending_);
    }
  }
  void Finish(HttpOutcome outcome) {
    if (over_) {
      return;
    }
    const auto end = callbacks.on_end ? callbacks.on_end : done;
    Close();
    end(std::move(outcome));
  }
  void Close() {
    over_ = true;
    callbacks = {};
    done = nullptr;
    request.can_send = nullptr;
  }

  Environment& environment_;
  std::string buffer_;
  std::optional<HttpOutcome> ending_;
  bool reading_ = false;
  bool over_ = false;
};

using ExchangePtr = std::shared_ptr<FakeExchange>;

/// Passes each call to the script of its endpoint. An endpoint without a script refuses
/// connections.
class FakeHttpClient : public HttpClient {
 public:
  using Script = std::function<void(const ExchangePtr&)>;

  explicit FakeHttpClient(Environment& environment) : environment_(environment) {}

  std::shared_ptr<HttpCall> Call(const Endpoint& to, HttpRequest request, Duration deadline,
                                 std::function<void(HttpOutcome)> done) override {
    auto exchange = std::make_shared<FakeExchange>(environment_, std::move(request));
    exchange->done = std::move(done);
    Begin(to, exchange, deadline);
    return exchange;
  }
  std::shared_ptr<HttpCall> Stream(const Endpoint& to, HttpRequest request, Duration deadline,
                                   Duration /*idle_limit*/,
                                   HttpStreamCallbacks callbacks) override {
    auto exchange = std::make_shared<FakeExchange>(environment_, std::move(request));
    exchange->callbacks = std::move(callbacks);
    Begin(to, exchange, deadline);
    return exchange;
  }

  std::map<std::string, Script> scripts;  ///< By `Endpoint::ToString`.
  Duration connect_time = milliseconds(1);

 private:
  void Begin(const Endpoint& to, const ExchangePtr& exchange, Duration deadline) {
    environment_.ScheduleAfter(
        deadline, [exchange] { exchange->End(HttpOutcomeKind::kUnknown, "deadline"); });
    environment_.ScheduleAfter(connect_time, [this, to, exchange] {
      if (exchange->over()) {
        return;
      }
      const auto script = scripts.find(to.ToString());
      const bool withheld = exchange->request.can_send && !exchange->request.can_send();
      if (script == scripts.end() || withheld) {
        exchange->End(HttpOutcomeKind::kNotSent, withheld ? "withheld" : "connect refused");
        return;
      }
      script->second(exchange);
    });
  }

  Environment& environment_;
};

/// Records the response to one caller.
class FakeResponder : public HttpResponder {
 public:
  void Send(HttpResponse response) override {
    ++answers;
    status = response.status;
    headers = std::move(response.headers);
    body = std::move(response.body);
    complete = true;
  }
  void StartStream(int stream_status, HttpHeaders stream_headers) override {
    ++answers;
    status = stream_status;
    headers = std::move(stream_headers);
  }
  void WriteChunk(std::string chunk, std::function<void(bool alive)> written) override {
    body += chunk;
    ++chunks;
    if (hold_writes) {
      held.push_back(std::move(written));
    } else {
      written(true);
    }
  }
  void FinishStream() override { complete = true; }
  void Abort() override { aborted = true; }
  void OnDisconnect(std::function<void()> on_disconnect) override {
    disconnect = std::move(on_disconnect);
  }

  int answers = 0;
  int status = 0;
  int chunks = 0;
  HttpHeaders headers;
  std::string body;
  bool complete = false;
  bool aborted = false;
  bool hold_writes = false;
  std::vector<std::function<void(bool)>> held;
  std::function<void()> disconnect;
};

/// Finds handlers by method and the part of their path pattern before the first parameter.
class FakeRouter : public HttpRouter {
 public:
  void Handle(std::string_view method, std::string_view pattern, HttpHandler handler) override {
    const std::string prefix(pattern.substr(0, pattern.find('{')));
    handlers.emplace(std::string(method) + " " + prefix, std::move(handler));
  }
  std::shared_ptr<FakeResponder> Post(const std::string& path, const std::string& body,
                                      HttpHeaders headers = {}) {
    auto responder = std::make_shared<FakeResponder>();
    Post(path, body, std::move(headers), responder);
    return responder;
  }
  void Post(const std::string& path, const std::string& body, HttpHeaders headers,
            const std::shared_ptr<FakeResponder>& responder) {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    for (const auto& [key, handler] : handlers) {
      if (("POST " + path).starts_with(key)) {
        handler(request, responder);
        return;
      }
    }
  }

  std::map<std::string, HttpHandler> handlers;
};

}  // namespace cloverbank

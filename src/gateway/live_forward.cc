#include "gateway/live_forward.h"

#include <array>
#include <cstdio>
#include <utility>

#include "base/logging.h"
#include "calls/http_json.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kMillisecondsPerSecond = 1000;
/// When to come back with what has not run, where nothing better is known.
constexpr std::uint32_t kDefaultRetryAfterMs = 400;

/// Statuses that promise that nothing ran: a replica's own failure may not be passed on as one.
bool PromisesNotRun(int status) {
  return status == kHttpRequestTimeout || status == kHttpMisdirected ||
         status == kHttpTooManyRequests || status == kHttpUnavailable;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::string FormatSeconds(std::uint32_t wait_ms) {
  std::array<char, 32> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "%u.%03u", wait_ms / kMillisecondsPerSecond,
                    wait_ms % kMillisecondsPerSecond);
  return std::string(text.data(), static_cast<std::size_t>(length));
}

}  // namespace

void SendRefusal(HttpResponder& responder, int http_status, const proto::CallError& error) {
  HttpResponse response;
  response.status = http_status;
  response.headers.emplace_back("Content-Type", "application/json");
  const bool come_back = http_status == kHttpTooManyRequests || http_status == kHttpUnavailable;
  const bool not_run = error.executed() == proto::EXECUTED_NO;
  const std::uint32_t standard = come_back && not_run ? kDefaultRetryAfterMs : 0;
  const std::uint32_t wait_ms = error.retry_after_ms() > 0 ? error.retry_after_ms() : standard;
  if (wait_ms > 0) {
    response.headers.emplace_back("Retry-After", FormatSeconds(wait_ms));
  }
  proto::ErrorBody body;
  *body.mutable_error() = error;
  response.body = ToJson(body);
  responder.Send(std::move(response));
}

LiveForward::LiveForward(const CallContext& context, std::shared_ptr<HttpResponder> responder,
                         std::function<void()> over)
    : context_(context), responder_(std::move(responder)), over_(std::move(over)) {}

void LiveForward::Start(CallSpec spec, ForwardCall call, const ReplicaHeaderNames& names) {
  started_at_ = context_.attempt.environment.Now();
  route_ = spec.route;
  timing_.emplace(AnswerTargets{call.target, call.longest_pause}, started_at_);
  exchange_ = std::make_shared<ForwardExchange>(std::move(call), names, *this);
  spec.exchange = exchange_;
  const std::weak_ptr<LiveForward> weak = weak_from_this();
  responder_->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->OnClientDisconnected();
    }
  });
  runner_ =
      std::make_shared<CallRunner>(context_, std::move(spec), [weak](const CallResult& result) {
        if (const auto self = weak.lock()) {
          self->OnDone(result);
        }
      });
  runner_->Start();
}

void LiveForward::OnComplete(HttpResponse response) {
  answered_ = true;
  timing_->OnComplete(context_.attempt.environment.Now());
  responder_->Send(std::move(response));
}

void LiveForward::OnStreamHead(int status, HttpHeaders headers) {
  stream_started_ = true;
  const Duration waited = context_.attempt.environment.Now() - started_at_;
  context_.attempt.environment.metrics().ObserveSeconds(
      "gateway_first_chunk_seconds", std::chrono::duration<double>(waited).count());
  responder_->StartStream(status, std::move(headers));
}

void LiveForward::OnEvent(StreamEvent event, std::function<void()> more) {
  timing_->OnEvent(context_.attempt.environment.Now());
  // The replica is read on only when the caller's socket has taken the event.
  responder_->WriteChunk(std::move(event.bytes),
                         [weak = weak_from_this(), more = std::move(more)](bool alive) {
                           const auto self = weak.lock();
                           if (self == nullptr) {
                             return;
                           }
                           if (alive) {
                             more();
                           } else {
                             self->OnClientDisconnected();
                           }
                         });
}

void LiveForward::OnDone(const CallResult& result) {
  Count(result.succeeded ? "succeeded" : result.error.code());
  if (!result.succeeded) {
    AnswerFailure(result);
  } else if (stream_started_) {
    responder_->FinishStream();
  }
  Over();
}

void LiveForward::AnswerFailure(const CallResult& result) {
  if (stream_started_) {
    responder_->Abort();  // Must not look whole.
    return;
  }
  const std::optional<HttpResponse>& failure = exchange_->failure();
  if (failure && !PromisesNotRun(failure->status)) {
    responder_->Send(*failure);
    return;
  }
  SendRefusal(*responder_, result.http_status, result.error);
}

void LiveForward::OnClientDisconnected() {
  if (client_disconnected_ || runner_ == nullptr) {
    return;
  }
  client_disconnected_ = true;
  context_.attempt.environment.metrics().Increment("gateway_client_disconnects_total");
  (void)runner_->Cancel();
  Count("caller_left");
  Over();
}

void LiveForward::Count(const std::string& outcome) {
  const Duration time = context_.attempt.environment.Now() - started_at_;
  Metrics& metrics = context_.attempt.environment.metrics();
  metrics.Increment("gateway_calls_total", {{"route", route_}, {"outcome", outcome}});
  metrics.ObserveSeconds("gateway_call_seconds", std::chrono::duration<double>(time).count(),
                         {{"route", route_}});
  RecordLateness();
}

void LiveForward::RecordLateness() {
  const Lateness lateness = timing_->lateness();
  if (lateness == Lateness::kNone) {
    return;
  }
  const std::string cause(LatenessName(lateness));
  context_.attempt.environment.metrics().Increment("gateway_late_responses_total",
                                                   {{"route", route_}, {"cause", cause}});
  Log(LogLevel::kInfo, "response_late",
      {{"route", route_},
       {"call_id", exchange_->call_id()},
       {"cause", cause},
       {"target_ms", ToMilliseconds(exchange_->call().target)},
       {"first_ms", ToMilliseconds(timing_->first_after())},
       {"longest_pause_ms", ToMilliseconds(timing_->longest_pause())},
       {"pause_from_ms", ToMilliseconds(timing_->longest_pause_from())},
       {"events", timing_->events()},
       {"prompt_tokens", exchange_->call().prompt.prompt_tokens},
       {"replica", exchange_->last_replica()}});
}

void LiveForward::Over() {
  runner_ = nullptr;
  if (const auto over = std::exchange(over_, nullptr)) {
    over();
  }
}

}  // namespace cloverbank

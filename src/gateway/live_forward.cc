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
/// Retry-After of a request that was not executed, if the error does not set one.
constexpr std::uint32_t kDefaultRetryAfterMs = 400;

/// Whether `status` tells the client that the request was not executed. A replica's failure must
/// not be forwarded with such a status.
bool ImpliesNotRun(int status) {
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
  const bool is_retry_status =
      http_status == kHttpTooManyRequests || http_status == kHttpUnavailable;
  const bool not_run = error.executed() == proto::EXECUTED_NO;
  const std::uint32_t default_wait_ms = is_retry_status && not_run ? kDefaultRetryAfterMs : 0;
  const std::uint32_t wait_ms =
      error.retry_after_ms() > 0 ? error.retry_after_ms() : default_wait_ms;
  if (wait_ms > 0) {
    response.headers.emplace_back("Retry-After", FormatSeconds(wait_ms));
  }
  proto::ErrorBody body;
  *body.mutable_error() = error;
  response.body = ToJson(body);
  responder.Send(std::move(response));
}

void LiveForward::Start(CallSpec spec, ForwardCall call, const ReplicaHeaderNames& names) {
  timing_.emplace(ResponseTargets{call.first_byte_target, call.pause_target}, started_at());
  exchange_ = std::make_shared<ForwardExchange>(std::move(call), names, *this);
  spec.exchange = exchange_;
  Run(std::move(spec));
}

void LiveForward::OnComplete(HttpResponse response) {
  timing_->OnComplete(environment().Now());
  responder().Send(std::move(response));
}

void LiveForward::OnStreamHead(int status, HttpHeaders headers) {
  StartStream(status, std::move(headers));
}

void LiveForward::OnEvent(StreamEvent event, std::function<void()> more) {
  timing_->OnEvent(environment().Now());
  WriteChunk(std::move(event.bytes), std::move(more));
}

void LiveForward::OnDone(const CallResult& result) {
  RecordOutcome(result.succeeded ? "succeeded" : result.error.code());
  RecordLateness();
  if (!result.succeeded) {
    SendFailure(result);
  } else if (stream_started()) {
    responder().FinishStream();
  }
  Finish();
}

void LiveForward::SendFailure(const CallResult& result) {
  if (stream_started()) {
    responder().Abort();  // The truncated stream must not look complete.
    return;
  }
  const std::optional<HttpResponse>& failure = exchange_->failure();
  if (failure && !ImpliesNotRun(failure->status)) {
    responder().Send(*failure);
    return;
  }
  SendRefusal(responder(), result.http_status, result.error);
}

void LiveForward::OnClientDisconnected() {
  (void)CancelRunner();
  RecordOutcome("caller_left");
  RecordLateness();
  Finish();
}

void LiveForward::RecordLateness() {
  const Lateness lateness = timing_->lateness();
  if (lateness == Lateness::kNone) {
    return;
  }
  const std::string cause(LatenessName(lateness));
  environment().metrics().Increment("gateway_late_responses_total",
                                    {{"route", route()}, {"cause", cause}});
  Log(LogLevel::kInfo, "response_late",
      {{"route", route()},
       {"call_id", exchange_->call_id()},
       {"cause", cause},
       {"target_ms", ToMilliseconds(exchange_->call().first_byte_target)},
       {"first_ms", ToMilliseconds(timing_->first_response_delay())},
       {"longest_pause_ms", ToMilliseconds(timing_->longest_pause())},
       {"pause_from_ms", ToMilliseconds(timing_->longest_pause_start())},
       {"events", timing_->events()},
       {"prompt_tokens", exchange_->call().prompt.prompt_tokens},
       {"replica", exchange_->last_replica()}});
}

}  // namespace cloverbank

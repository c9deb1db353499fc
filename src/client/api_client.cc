#include "client/api_client.h"

#include <chrono>
#include <thread>

#include "json/json.h"
#include "net/event_loop.h"

namespace cloverbank {
namespace {

constexpr Duration kCallDeadline = seconds(10);
constexpr auto kRetryDelay = milliseconds(200);
constexpr int kFirstErrorStatus = 400;

bool MayRepeat(const HttpOutcome& outcome, const ApiError& error, Repeat repeat) {
  if (outcome.kind == HttpOutcomeKind::kNotSent) {
    return true;
  }
  if (outcome.kind == HttpOutcomeKind::kUnknown) {
    return repeat == Repeat::kSafe;
  }
  const bool temporary = outcome.response.status == 503 || outcome.response.status == 504 ||
                         outcome.response.status == 429;
  const bool not_run = error.error.executed() == proto::EXECUTED_NO;
  return temporary && (not_run || repeat == Repeat::kSafe);
}

}  // namespace

ApiClient::ApiClient(std::vector<Endpoint> gateways, Duration patience)
    : gateways_(std::move(gateways)), patience_(patience) {}

bool ApiClient::ReadOutcome(const HttpOutcome& outcome, google::protobuf::Message* answer,
                            ApiError* error) {
  if (outcome.kind != HttpOutcomeKind::kAnswered) {
    error->error.set_code("unreachable");
    error->error.set_message(outcome.reason);
    error->error.set_executed(outcome.kind == HttpOutcomeKind::kNotSent ? proto::EXECUTED_NO
                                                                        : proto::EXECUTED_UNKNOWN);
    return false;
  }
  last_status_ = outcome.response.status;
  error->http_status = outcome.response.status;
  if (outcome.response.status >= kFirstErrorStatus) {
    proto::ErrorBody body;
    if (FromJson(outcome.response.body, &body, UnknownFields::kIgnore).ok()) {
      error->error = body.error();
    } else {
      error->error.set_code("malformed_error");
      error->error.set_message(outcome.response.body);
    }
    return false;
  }
  if (answer == nullptr) {
    return true;
  }
  answer->Clear();
  const Status status = FromJson(outcome.response.body, answer, UnknownFields::kIgnore);
  if (!status.ok()) {
    error->error.set_code("malformed_answer");
    error->error.set_message(status.message());
  }
  return status.ok();
}

bool ApiClient::Call(const std::string& method, const std::string& path, const std::string& body,
                     Repeat repeat, google::protobuf::Message* answer, ApiError* error) {
  const TimePoint retry_until = EventLoop::Now() + patience_;
  while (true) {
    *error = ApiError{};
    const Endpoint& gateway = gateways_[next_gateway_ % gateways_.size()];
    const HttpOutcome outcome = http_.Call(gateway, MakeRequest(method, path, body), kCallDeadline);
    if (ReadOutcome(outcome, answer, error)) {
      return true;
    }
    if (!MayRepeat(outcome, *error, repeat) || EventLoop::Now() + kRetryDelay > retry_until) {
      return false;
    }
    ++next_gateway_;
    std::this_thread::sleep_for(kRetryDelay);
  }
}

}  // namespace cloverbank

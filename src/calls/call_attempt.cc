#include "calls/call_attempt.h"

#include <algorithm>

#include "calls/http_json.h"
#include "json/json.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

proto::CallError MakeError(const std::string& code, const std::string& message) {
  proto::CallError error;
  error.set_code(code);
  error.set_message(message);
  return error;
}

}  // namespace

FailureReading ReadRefusal(int status, const std::string& body) {
  proto::ErrorBody parsed;
  const bool readable = FromJson(body, &parsed, UnknownFields::kIgnore).ok() && parsed.has_error();
  const proto::Executed told = parsed.error().executed();
  const std::string words = readable ? ": " + parsed.error().message() : "";
  const std::string message = "the replica answered " + std::to_string(status) + words;
  const bool ran = told == proto::EXECUTED_YES || told == proto::EXECUTED_UNKNOWN;
  FailureReading reading;
  if (status == kHttpTooManyRequests || status == kHttpUnavailable) {
    reading.health = CallEnd::kRefused;
    reading.result.end = ran ? AttemptEnd::kUnknown : AttemptEnd::kNotRun;
    reading.result.error = MakeError("replica_refused", message);
    return reading;
  }
  if (status >= kFirstClientError && status < kFirstServerError && !ran) {
    reading.health = CallEnd::kSuccess;
    reading.result.end = AttemptEnd::kRejected;
    reading.result.error = MakeError("replica_rejected", message);
    return reading;
  }
  reading.health = CallEnd::kFailed;
  reading.result.end = AttemptEnd::kUnknown;
  if (told == proto::EXECUTED_NO) {
    reading.result.end = AttemptEnd::kNotRun;
  } else if (told == proto::EXECUTED_YES) {
    reading.result.end = AttemptEnd::kFailed;
  }
  reading.result.error = MakeError("replica_failed", message);
  return reading;
}

FailureReading ClassifyTimeout(const HttpOutcome& outcome, const NoResponseContext& known,
                               const CallOptions& options) {
  FailureReading reading;
  if (outcome.kind == HttpOutcomeKind::kNotSent) {
    const bool hurried =
        known.deadline_reached && known.time_allowed < options.minimum_response_time;
    reading.health = known.send_denied || hurried ? CallEnd::kWithdrawn : CallEnd::kNotConnected;
    reading.result.end = AttemptEnd::kNotRun;
    const std::string code = known.send_denied ? "right_ended" : "replica_unreachable";
    reading.result.error = MakeError(code, "nothing was sent: " + outcome.reason);
    return reading;
  }
  // A deadline that is too short for any replica, or that ends a response in progress, is not the
  // replica's fault.
  const bool hurried = known.head_received || known.time_allowed < options.minimum_response_time;
  const bool blameless = known.deadline_reached && hurried;
  reading.health = blameless ? CallEnd::kWithdrawn : CallEnd::kNoResponse;
  reading.result.end = AttemptEnd::kUnknown;
  reading.result.error =
      MakeError("replica_silent", "the replica gave no whole answer: " + outcome.reason);
  return reading;
}

HttpRequest MakeReplicaRequest(std::string_view path, const JsonAttemptRequest& request,
                               Duration remaining) {
  const auto milliseconds_left = std::chrono::duration_cast<milliseconds>(remaining).count();
  HttpRequest http;
  http.method = "POST";
  http.path = std::string(path);
  http.headers.emplace_back("Content-Type", "application/json");
  http.headers.emplace_back("X-Call-Id", request.body.call_id());
  http.headers.emplace_back("X-Deadline-Ms",
                            std::to_string(std::max<std::int64_t>(1, milliseconds_left)));
  http.body = ToJson(request.body);
  return http;
}

}  // namespace cloverbank

#include "calls/call_attempt.h"

#include <algorithm>

#include "calls/http_json.h"
#include "calls/response_origin.h"
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

/// Classifies an error response by its status and, unless it is nullptr, by its error body.
FailureClassification ClassifyByStatus(int status, const proto::CallError* error) {
  const proto::Executed reported =
      error != nullptr ? error->executed() : proto::EXECUTED_UNSPECIFIED;
  const std::string details = error != nullptr ? ": " + error->message() : "";
  const std::string message =
      "the replica responded with status " + std::to_string(status) + details;
  const bool ran = reported == proto::EXECUTED_YES || reported == proto::EXECUTED_UNKNOWN;
  FailureClassification classification;
  if (status == kHttpTooManyRequests || status == kHttpUnavailable) {
    classification.health = CallOutcome::kRefused;
    classification.result.end = ran ? AttemptEnd::kUnknown : AttemptEnd::kNotRun;
    classification.result.error = MakeError("replica_refused", message);
    return classification;
  }
  if (status >= kFirstClientError && status < kFirstServerError && !ran) {
    classification.health = CallOutcome::kSuccess;
    classification.result.end = AttemptEnd::kRejected;
    classification.result.error = MakeError("replica_rejected", message);
    return classification;
  }
  classification.health = CallOutcome::kFailed;
  classification.result.end = AttemptEnd::kUnknown;
  if (reported == proto::EXECUTED_NO) {
    classification.result.end = AttemptEnd::kNotRun;
  } else if (reported == proto::EXECUTED_YES) {
    classification.result.end = AttemptEnd::kFailed;
  }
  classification.result.error = MakeError("replica_failed", message);
  return classification;
}

}  // namespace

FailureClassification ClassifyErrorResponse(const ErrorResponse& response,
                                            std::string_view call_id) {
  proto::ErrorBody parsed;
  const bool readable =
      FromJson(response.body, &parsed, UnknownFields::kIgnore).ok() && parsed.has_error();
  FailureClassification classification =
      ClassifyByStatus(response.status, readable ? &parsed.error() : nullptr);
  const std::string& echoed =
      response.echoed_id.empty() ? parsed.error().call_id() : response.echoed_id;
  const ResponseOrigin origin = FindResponseOrigin(echoed, call_id);
  const AttemptEnd end = classification.result.end;
  const bool claims_not_run = end == AttemptEnd::kNotRun || end == AttemptEnd::kRejected;
  if (claims_not_run && !ProvesNotRun(origin, response.connection_reused)) {
    classification.result.end = AttemptEnd::kUnknown;
    classification.unidentified_refusal = origin == ResponseOrigin::kUnidentified;
  }
  return classification;
}

FailureClassification ClassifyIncompleteResponse(const HttpOutcome& outcome,
                                                 const IncompleteResponseContext& context,
                                                 const CallOptions& options) {
  FailureClassification classification;
  if (outcome.kind == HttpOutcomeKind::kNotSent) {
    const bool deadline_too_short =
        context.deadline_reached && context.time_allowed < options.minimum_response_time;
    classification.health = context.send_denied || deadline_too_short ? CallOutcome::kCancelled
                                                                      : CallOutcome::kNotConnected;
    classification.result.end = AttemptEnd::kNotRun;
    const std::string code = context.send_denied ? "right_ended" : "replica_unreachable";
    classification.result.error = MakeError(code, "the request was not sent: " + outcome.reason);
    return classification;
  }
  // A deadline that is too short for any replica, or that ends a response in progress, is not the
  // replica's fault.
  const bool deadline_too_short =
      context.head_received || context.time_allowed < options.minimum_response_time;
  const bool not_replica_fault = context.deadline_reached && deadline_too_short;
  classification.health = not_replica_fault ? CallOutcome::kCancelled : CallOutcome::kNoResponse;
  classification.result.end = AttemptEnd::kUnknown;
  classification.result.error =
      MakeError("replica_silent", "the replica sent no complete response: " + outcome.reason);
  return classification;
}

HttpRequest MakeReplicaRequest(std::string_view path, const JsonAttemptRequest& request,
                               Duration remaining) {
  const auto milliseconds_left = std::chrono::duration_cast<milliseconds>(remaining).count();
  HttpRequest http;
  http.method = "POST";
  http.path = std::string(path);
  http.headers.emplace_back("Content-Type", "application/json");
  http.headers.emplace_back(kCallIdHeader, request.body.call_id());
  http.headers.emplace_back("X-Deadline-Ms",
                            std::to_string(std::max<std::int64_t>(1, milliseconds_left)));
  http.body = ToJson(request.body);
  http.new_connection = request.new_connection;
  return http;
}

}  // namespace cloverbank

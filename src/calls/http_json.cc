#include "calls/http_json.h"

#include <google/protobuf/message.h>

#include <string_view>
#include <utility>

namespace cloverbank {
namespace {

constexpr std::uint32_t kMillisecondsPerSecond = 1000;
constexpr std::uint32_t kDefaultRetryAfterMs = 1000;
constexpr std::string_view kJsonType = "application/json";

HttpResponse MakeJsonResponse(int http_status, const google::protobuf::Message& message) {
  HttpResponse response;
  response.status = http_status;
  response.headers.emplace_back("Content-Type", kJsonType);
  response.body = ToJson(message) + "\n";
  return response;
}

}  // namespace

void SendJson(HttpResponder& responder, int http_status, const google::protobuf::Message& message) {
  responder.Send(MakeJsonResponse(http_status, message));
}

void SendError(HttpResponder& responder, int http_status, const proto::CallError& error) {
  proto::ErrorBody body;
  *body.mutable_error() = error;
  HttpResponse response = MakeJsonResponse(http_status, body);
  if (error.retry_after_ms() > 0) {
    const std::uint64_t rounded_up =
        (std::uint64_t{error.retry_after_ms()} + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
    response.headers.emplace_back("Retry-After", std::to_string(rounded_up));
  }
  responder.Send(std::move(response));
}

int HttpStatusFor(StatusCode code) {
  switch (code) {
    case StatusCode::kOk:
      return 200;
    case StatusCode::kInvalidArgument:
      return 400;
    case StatusCode::kNotFound:
      return 404;
    case StatusCode::kConflict:
      return 409;
    case StatusCode::kResourceExhausted:
      return 429;
    case StatusCode::kUnavailable:
    case StatusCode::kFenced:
    case StatusCode::kStaleEpoch:
    case StatusCode::kNotLeader:
    case StatusCode::kLeaseExpired:
    case StatusCode::kCancelled:
      return 503;
    case StatusCode::kUnknownOutcome:
      return 504;
    case StatusCode::kCorrupt:
    case StatusCode::kIoError:
    case StatusCode::kInternal:
      return 500;
  }
  return 500;
}

void SendStatus(HttpResponder& responder, const Status& status, proto::Executed executed) {
  const int http_status = HttpStatusFor(status.code());
  proto::CallError error;
  error.set_code(std::string(StatusCodeName(status.code())));
  error.set_message(status.message());
  error.set_executed(executed);
  if (http_status == 429 || http_status == 503) {
    error.set_retry_after_ms(kDefaultRetryAfterMs);
  }
  SendError(responder, http_status, error);
}

}  // namespace cloverbank

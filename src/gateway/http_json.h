#pragma once
/// @file
/// JSON bodies of the HTTP interface: protobuf's own JSON mapping with the field names of the
/// schemas (snake_case), and one shape for every error.

#include <memory>
#include <string>

#include "base/status.h"
#include "net/http_types.h"
#include "proto/live.pb.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// @return `message` as JSON with schema field names and default values printed.
std::string ToJson(const google::protobuf::Message& message);
/// Reads JSON into `message`. @return kInvalidArgument naming the place and what was expected.
Status FromJson(const std::string& json, google::protobuf::Message* message);

/// Sends `message` as a JSON answer.
void SendJson(HttpResponder& responder, int http_status, const google::protobuf::Message& message);
/// Sends an ErrorBody; sets Retry-After (whole seconds, rounded up) if `retry_after_ms` is set.
void SendError(HttpResponder& responder, int http_status, const proto::CallError& error);
/// @return the HTTP status that fits `code` (400, 404, 409, 429, 503, 504, 500).
int HttpStatusFor(StatusCode code);
/// Sends `status` as an error. `executed` says what the caller may assume of its request.
void SendStatus(HttpResponder& responder, const Status& status, proto::Executed executed);

}  // namespace cloverbank

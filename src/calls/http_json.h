#pragma once
/// @file
/// JSON bodies of the HTTP interface: protobuf's own JSON mapping with the field names of the
/// schemas (snake_case). Every error has the form of `ErrorBody`.

#include <memory>
#include <string>

#include "base/status.h"
#include "json/json.h"
#include "net/http_types.h"
#include "proto/live.pb.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// Sends `message` as a JSON response.
void SendJson(HttpResponder& responder, int http_status, const google::protobuf::Message& message);
/// Sends an ErrorBody; sets Retry-After (whole seconds, rounded up) if `retry_after_ms` is set.
void SendError(HttpResponder& responder, int http_status, const proto::CallError& error);
/// @return the HTTP status for `code`: 200, 400, 404, 409, 429, 500, 503 or 504.
int HttpStatusFor(StatusCode code);
/// Sends `status` as an error; with 429 and 503 the client is asked to retry after 1 s.
/// @param executed whether the request may have run.
void SendStatus(HttpResponder& responder, const Status& status, proto::Executed executed);

}  // namespace cloverbank

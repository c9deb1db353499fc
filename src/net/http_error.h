#pragma once
/// @file
/// Error responses that the HTTP layer itself sends, in the JSON form that all errors have
/// (ErrorBody). Pure.

#include <string_view>

#include "net/http_types.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// @return a JSON response with an ErrorBody.
/// @param code stable snake_case name of the error.
/// @param message for people.
/// @param executed whether the caller's request was executed, as far as known.
HttpResponse MakeErrorResponse(int http_status, std::string_view code, std::string_view message,
                               proto::Executed executed);

}  // namespace cloverbank

#pragma once
/// @file
/// Responses that the transport itself sends, in the JSON form of all errors (ErrorBody).

#include <string_view>

#include "net/http_types.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// @return a JSON answer with an ErrorBody.
/// @param code stable snake_case name of the error.
/// @param executed what the caller may assume of its request.
HttpResponse MakeErrorResponse(int http_status, std::string_view code, std::string_view message,
                               proto::Executed executed);

}  // namespace cloverbank

#include "net/http_error.h"

#include <google/protobuf/util/json_util.h>

#include <string>

namespace cloverbank {

HttpResponse MakeErrorResponse(int http_status, std::string_view code, std::string_view message,
                               proto::Executed executed) {
  proto::ErrorBody body;
  body.mutable_error()->set_code(std::string(code));
  body.mutable_error()->set_message(std::string(message));
  body.mutable_error()->set_executed(executed);
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  HttpResponse response;
  response.status = http_status;
  response.headers.emplace_back("Content-Type", "application/json");
  const auto printed = google::protobuf::util::MessageToJsonString(body, &response.body, options);
  if (!printed.ok()) {
    response.body = "{}";
  }
  return response;
}

}  // namespace cloverbank

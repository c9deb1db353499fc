#include "json/json.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace cloverbank {
namespace {

std::string PrintJson(const google::protobuf::Message& message, bool pretty) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  options.add_whitespace = pretty;
  std::string json;
  const auto status = google::protobuf::util::MessageToJsonString(message, &json, options);
  return status.ok() ? json : "{}";  // Only malformed Any fields fail, and no .proto file has any.
}

bool IsBlank(const std::string& text) {
  return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

}  // namespace

std::string ToJson(const google::protobuf::Message& message) { return PrintJson(message, false); }

std::string ToReadableJson(const google::protobuf::Message& message) {
  return PrintJson(message, true);
}

Status FromJson(const std::string& json, google::protobuf::Message* message,
                UnknownFields unknown_fields) {
  if (IsBlank(json)) {
    return {StatusCode::kInvalidArgument, "the body is empty; expected a JSON object"};
  }
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = unknown_fields == UnknownFields::kIgnore;
  const auto status = google::protobuf::util::JsonStringToMessage(json, message, options);
  if (status.ok()) {
    return Status::Ok();
  }
  const auto reason = status.message();
  return {StatusCode::kInvalidArgument, "the body is not a valid " +
                                            message->GetDescriptor()->name() + ": " +
                                            std::string{reason.data(), reason.size()}};
}

}  // namespace cloverbank

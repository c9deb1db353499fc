#pragma once
/// @file
/// JSON of the HTTP interfaces: protobuf's own mapping with the field names of the schemas.

#include <string>

#include "base/status.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// @return `message` as JSON with schema field names (snake_case) and default values printed.
std::string ToJson(const google::protobuf::Message& message);
/// The same over several indented lines, for people.
std::string ToReadableJson(const google::protobuf::Message& message);

/// What to do with JSON fields that the schema does not have.
enum class UnknownFields { kRefuse, kIgnore };
/// Reads JSON into `message`. @return kInvalidArgument with the position and what was expected.
Status FromJson(const std::string& json, google::protobuf::Message* message,
                UnknownFields unknown_fields = UnknownFields::kRefuse);

}  // namespace cloverbank

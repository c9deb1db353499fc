#pragma once
/// @file
/// JSON for the HTTP interfaces: protobuf's JSON mapping with the field names of the .proto files.
/// Pure functions; thread-safe.

#include <string>

#include "base/status.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// @return `message` as one line of JSON with the field names of the .proto file (snake_case);
/// primitive fields that have their default value are printed too.
std::string ToJson(const google::protobuf::Message& message);
/// @return the same JSON as `ToJson`, indented over several lines for people.
std::string ToReadableJson(const google::protobuf::Message& message);

/// What `FromJson` does with JSON fields that the message type does not have.
enum class UnknownFields { kRefuse, kIgnore };
/// Parses `json` into `message`. @return OK, or kInvalidArgument with protobuf's description of the
/// error (position and what was expected).
Status FromJson(const std::string& json, google::protobuf::Message* message,
                UnknownFields unknown_fields = UnknownFields::kRefuse);

}  // namespace cloverbank

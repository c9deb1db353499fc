#pragma once
/// @file
/// JSON that back ends and the platform send. Unlike callers' JSON (http_json.h), fields that the
/// schemas do not know are skipped: others may add to their answers without asking us.

#include <string>

#include "base/status.h"

namespace google::protobuf {
class Message;
}

namespace cloverbank {

/// Reads `json` into `message`. @return kCorrupt if it is not JSON of that message.
Status FromBackendJson(const std::string& json, google::protobuf::Message* message);

}  // namespace cloverbank

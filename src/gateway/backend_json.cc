#include "gateway/backend_json.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include <utility>

namespace cloverbank {

Status FromBackendJson(const std::string& json, google::protobuf::Message* message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = google::protobuf::util::JsonStringToMessage(json, message, options);
  if (status.ok()) {
    return Status::Ok();
  }
  std::string reason = status.ToString();
  return {StatusCode::kCorrupt, std::move(reason)};
}

}  // namespace cloverbank

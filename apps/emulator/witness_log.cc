#include "emulator/witness_log.h"

#include <google/protobuf/struct.pb.h>

#include <chrono>

#include "json/json.h"

namespace cloverbank {

Status WitnessLog::Open(const std::string& path) {
  if (path.empty()) {
    return Status::Ok();
  }
  file_.open(path, std::ios::app);
  if (!file_) {
    return {StatusCode::kIoError, "cannot write the witness log " + path};
  }
  return Status::Ok();
}

void WitnessLog::Record(std::string_view event, std::string_view replica, std::string_view call_id,
                        std::string_view detail) {
  if (event == "start") {
    ++starts_;
  }
  if (!file_.is_open()) {
    return;
  }
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  google::protobuf::Struct line;
  auto& fields = *line.mutable_fields();
  fields["time_ms"].set_number_value(static_cast<double>(wall_ms));
  fields["event"].set_string_value(std::string(event));
  fields["replica"].set_string_value(std::string(replica));
  fields["call_id"].set_string_value(std::string(call_id));
  if (!detail.empty()) {
    fields["detail"].set_string_value(std::string(detail));
  }
  file_ << ToJson(line) << '\n' << std::flush;
}

}  // namespace cloverbank

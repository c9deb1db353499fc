#pragma once
/// @file
/// The emulator's record of what really ran: one JSON line for each start, refusal and end of a
/// call at a replica, with the time. Tests and reports use it as an independent witness.

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "base/status.h"

namespace cloverbank {

class WitnessLog {
 public:
  /// @param path empty: nothing is written, only counted.
  Status Open(const std::string& path);

  /// Writes one line. @param event "start", "refused", "end", "cancelled" or "fault".
  void Record(std::string_view event, std::string_view replica, std::string_view call_id,
              std::string_view detail = {});

  std::uint64_t starts() const { return starts_; }

 private:
  std::ofstream file_;
  std::uint64_t starts_ = 0;
};

}  // namespace cloverbank

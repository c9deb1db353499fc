#pragma once
/// @file
/// The emulator's log of the calls that replicas ran: one JSON line with the time for each start,
/// refusal, cancellation and end of a call and each fault. Tests and reports use it as evidence
/// that doesn't depend on the gateways.

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "base/status.h"

namespace cloverbank {

class WitnessLog {
 public:
  /// @param path file to append to; if empty, starts are only counted. @return kIoError if the file
  /// cannot be opened.
  Status Open(const std::string& path);

  /// Writes one line and flushes it. @param event "start", "refused", "end", "cancelled" or
  /// "fault".
  void Record(std::string_view event, std::string_view replica, std::string_view call_id,
              std::string_view detail = {});

  /// @return the number of "start" events since the process began.
  std::uint64_t starts() const { return starts_; }

 private:
  std::ofstream file_;
  std::uint64_t starts_ = 0;
};

}  // namespace cloverbank

#include "base/status.h"

#include <array>

namespace cloverbank {

std::string_view StatusCodeName(StatusCode code) {
  static constexpr std::array<std::string_view, 15> kNames = {"ok",
                                                              "invalid_argument",
                                                              "not_found",
                                                              "conflict",
                                                              "unavailable",
                                                              "unknown",
                                                              "fenced",
                                                              "stale_epoch",
                                                              "not_leader",
                                                              "lease_expired",
                                                              "resource_exhausted",
                                                              "corrupt",
                                                              "io_error",
                                                              "cancelled",
                                                              "internal"};
  const auto index = static_cast<std::size_t>(code);
  return index < kNames.size() ? kNames[index] : "internal";
}

std::string Status::ToString() const {
  std::string text(StatusCodeName(code_));
  if (!message_.empty()) {
    text += ": ";
    text += message_;
  }
  return text;
}

}  // namespace cloverbank

#pragma once
/// @file
/// Cursors of lists. A cursor is the position after which the next page begins, opaque to clients.
/// Positions come from the log, so a cursor remains valid after recoveries, and a cursor at the end
/// of a list can be used again later.

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/status.h"

namespace cloverbank {

inline std::string FormatCursor(std::uint64_t position) { return "p" + std::to_string(position); }

/// @return the position; 0 for the empty cursor; kInvalidArgument for a text that is no cursor.
inline Result<std::uint64_t> ParseCursor(std::string_view cursor) {
  if (cursor.empty()) {
    return std::uint64_t{0};
  }
  std::uint64_t position = 0;
  const char* end = cursor.data() + cursor.size();
  const auto parsed = std::from_chars(cursor.data() + 1, end, position);
  if (cursor.front() != 'p' || cursor.size() < 2 || parsed.ec != std::errc() || parsed.ptr != end) {
    return Status(StatusCode::kInvalidArgument,
                  "the cursor was not returned by a list; pass next_cursor unchanged");
  }
  return position;
}

}  // namespace cloverbank

#pragma once
/// @file
/// Numbers in text that comes from outside. Pure.

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cloverbank {

/// @return the number if all of `text` is an integer that fits, else nothing.
inline std::optional<std::uint64_t> ParseInteger(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool whole = error == std::errc() && stop == end && !text.empty();
  return whole ? std::optional(number) : std::nullopt;
}

}  // namespace cloverbank

#pragma once
/// @file
/// Parsing of numbers in untrusted text. Pure functions; thread-safe.

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cloverbank {

/// @return the number if all of `text` is an unsigned decimal integer that fits into 64 bits,
/// otherwise std::nullopt.
inline std::optional<std::uint64_t> ParseInteger(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  const bool consumed_all = error == std::errc() && parsed_end == end && !text.empty();
  return consumed_all ? std::optional(number) : std::nullopt;
}

}  // namespace cloverbank

#pragma once
/// @file
/// Encoding and decoding of little-endian numbers in stored bytes. Pure functions; thread-safe.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cloverbank {

/// Appends the lowest `byte_count` (at most 8) bytes of `value` to `out`.
inline void AppendLittleEndian(std::string* out, std::uint64_t value, std::size_t byte_count) {
  constexpr unsigned kBitsPerByte = 8;
  for (std::size_t i = 0; i < byte_count; ++i) {
    out->push_back(static_cast<char>((value >> (kBitsPerByte * i)) & 0xFFU));
  }
}

/// @return the number that `bytes` (at most 8) encode, lowest byte first.
inline std::uint64_t ReadLittleEndian(std::string_view bytes) {
  constexpr unsigned kBitsPerByte = 8;
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (kBitsPerByte * i);
  }
  return value;
}

}  // namespace cloverbank

#pragma once
/// @file
/// 64-bit XXH3 checksums of stored and transmitted bytes. Thread-safe.

#include <cstdint>
#include <string_view>

namespace cloverbank {

/// @return the XXH3 64-bit hash of `bytes`, mixed with `seed`.
std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace cloverbank

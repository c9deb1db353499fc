#include "base/checksum.h"

#include <xxhash.h>

namespace cloverbank {

std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace cloverbank

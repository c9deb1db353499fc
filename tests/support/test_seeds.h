#pragma once
/// @file
/// The seeds that randomised tests play: few in CI, more of them or a single one by hand.

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <vector>

namespace cloverbank {

/// @return the number in the environment variable `name`; `otherwise` if it is not set.
inline std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): set before the tests run.
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// @return CLOVERBANK_SEED alone if it is set; else 1 to CLOVERBANK_SEEDS, `standard` by default.
inline std::vector<std::uint64_t> TestSeeds(std::uint64_t standard) {
  if (const std::uint64_t only = NumberFromEnvironment("CLOVERBANK_SEED", 0); only != 0) {
    return {only};
  }
  std::vector<std::uint64_t> seeds(NumberFromEnvironment("CLOVERBANK_SEEDS", standard));
  std::iota(seeds.begin(), seeds.end(), 1);
  return seeds;
}

}  // namespace cloverbank

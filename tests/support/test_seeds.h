#pragma once
/// @file
/// The seeds that randomised tests run: a few in CI; more, or a single one, when set in the
/// environment.

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <vector>

namespace cloverbank {

/// @return the number in the environment variable `name`; `default_value` if it is not set.
inline std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): set before the tests run.
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// @return only the seed in CLOVERBANK_SEED if that is set and not 0; otherwise the seeds 1 to
/// CLOVERBANK_SEEDS, or 1 to `default_count` if that is not set.
inline std::vector<std::uint64_t> TestSeeds(std::uint64_t default_count) {
  if (const std::uint64_t only = NumberFromEnvironment("CLOVERBANK_SEED", 0); only != 0) {
    return {only};
  }
  std::vector<std::uint64_t> seeds(NumberFromEnvironment("CLOVERBANK_SEEDS", default_count));
  std::iota(seeds.begin(), seeds.end(), 1);
  return seeds;
}

}  // namespace cloverbank

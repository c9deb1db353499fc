#include "replicas/prefill_throughput.h"

namespace cloverbank {
namespace {

/// Longest prompt of the first class; each further class reaches four times as far.
constexpr std::uint32_t kShortest = 4'000;
constexpr std::uint32_t kGrowth = 4;

}  // namespace

std::size_t PrefillThroughput::ClassOf(std::uint32_t tokens) {
  std::size_t found = 0;
  std::uint64_t longest = kShortest;
  while (found + 1 < kClasses && tokens > longest) {
    ++found;
    longest *= kGrowth;
  }
  return found;
}

void PrefillThroughput::Add(std::uint32_t tokens, double tokens_per_ms) {
  rates_.at(ClassOf(tokens)).Add(tokens_per_ms);
}

std::optional<double> PrefillThroughput::TokensPerMillisecond(std::uint32_t tokens) const {
  const std::size_t own = ClassOf(tokens);
  for (std::size_t distance = 0; distance < kClasses; ++distance) {
    if (own >= distance && rates_.at(own - distance).value()) {
      return rates_.at(own - distance).value();
    }
    if (own + distance < kClasses && rates_.at(own + distance).value()) {
      return rates_.at(own + distance).value();
    }
  }
  return std::nullopt;
}

}  // namespace cloverbank

#include "replicas/prefill_throughput.h"

namespace cloverbank {
namespace {

/// Longest prompt of the first length class, in tokens; the limit of each further class is four
/// times that of the one before.
constexpr std::uint32_t kFirstClassLimit = 4'000;
constexpr std::uint32_t kClassLimitFactor = 4;

}  // namespace

std::size_t PrefillThroughput::ClassOf(std::uint32_t tokens) {
  std::size_t length_class = 0;
  std::uint64_t limit = kFirstClassLimit;
  while (length_class + 1 < kClasses && tokens > limit) {
    ++length_class;
    limit *= kClassLimitFactor;
  }
  return length_class;
}

void PrefillThroughput::Add(std::uint32_t tokens, double tokens_per_ms) {
  rates_.at(ClassOf(tokens)).Add(tokens_per_ms);
}

std::optional<double> PrefillThroughput::TokensPerMillisecond(std::uint32_t tokens) const {
  const std::size_t own_class = ClassOf(tokens);
  for (std::size_t distance = 0; distance < kClasses; ++distance) {
    if (own_class >= distance && rates_.at(own_class - distance).value()) {
      return rates_.at(own_class - distance).value();
    }
    if (own_class + distance < kClasses && rates_.at(own_class + distance).value()) {
      return rates_.at(own_class + distance).value();
    }
  }
  return std::nullopt;
}

}  // namespace cloverbank

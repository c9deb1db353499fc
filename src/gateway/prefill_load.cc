#include "gateway/prefill_load.h"

#include <algorithm>
#include <cmath>

namespace cloverbank {
namespace {

constexpr double kLeastTokensPerMs = 10;
constexpr double kMostTokensPerMs = 2000;
/// An answer that waited for other prompts for a larger part of its latency tells no rate.
constexpr int kLeastLatencyOverBacklog = 4;

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Duration PrefillLoad::Backlog(std::string_view replica, TimePoint now) const {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return Duration::zero();
  }
  const Replica& entry = found->second;
  const Duration known = std::max(Duration::zero(), entry.busy_until - now);
  return known + DelayOf(entry, now);
}

Duration PrefillLoad::DelayOf(const Replica& replica, TimePoint now) const {
  const double half_lives = std::chrono::duration<double>(now - replica.delay_at) /
                            std::chrono::duration<double>(options_.delay_half_life);
  return std::chrono::duration_cast<Duration>(replica.delay * std::exp2(-half_lives));
}

void PrefillLoad::Watch(const std::string& replica, const std::string& backend) {
  replicas_[replica].backend = backend;
}

double PrefillLoad::tokens_per_ms(std::string_view replica) const {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && found->second.rate.known()) {
    return found->second.rate.tokens_per_ms();
  }
  const auto peers = rates_.find(found == replicas_.end() ? "" : found->second.backend);
  const bool known = peers != rates_.end() && peers->second.known();
  return known ? peers->second.tokens_per_ms() : options_.first_tokens_per_ms;
}

std::uint32_t PrefillLoad::TokensToRead(std::string_view replica, const PromptShape& shape,
                                        bool home) const {
  bool kept = home;
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && shape.shared_key != 0) {
    kept = kept || found->second.places.contains(shape.shared_key);
  }
  const std::uint32_t shared = std::min(shape.shared_tokens, shape.prompt_tokens);
  return shape.prompt_tokens - (kept && shape.shared_key != 0 ? shared : 0);
}

Duration PrefillLoad::TimeFor(std::string_view replica, std::uint32_t tokens) const {
  const std::chrono::duration<double, std::milli> time(tokens / tokens_per_ms(replica));
  return std::chrono::duration_cast<Duration>(time);
}

void PrefillLoad::OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key,
                          TimePoint now) {
  Replica& entry = replicas_[replica];
  entry.busy_until = std::max(entry.busy_until, now) + TimeFor(replica, tokens);
  if (key != 0) {
    Remember(entry, key);
  }
}

void PrefillLoad::Remember(Replica& replica, std::uint64_t key) {
  const auto known = replica.places.find(key);
  if (known != replica.places.end()) {
    replica.recent.splice(replica.recent.begin(), replica.recent, known->second);
    return;
  }
  replica.recent.push_front(key);
  replica.places[key] = replica.recent.begin();
  if (replica.recent.size() > options_.keys_per_replica) {
    replica.places.erase(replica.recent.back());
    replica.recent.pop_back();
  }
}

void PrefillLoad::OnFirstByte(const std::string& replica, std::uint32_t tokens, Duration backlog,
                              Duration latency, TimePoint now) {
  Replica& entry = replicas_[replica];
  const Duration expected = backlog + TimeFor(replica, tokens) + options_.fixed_latency;
  const Duration late = std::max(Duration::zero(), latency - expected);
  const Duration past = DelayOf(entry, now);
  entry.delay = std::chrono::duration_cast<Duration>(past * (1 - options_.delay_weight) +
                                                     late * options_.delay_weight);
  entry.delay_at = now;
  if (backlog * kLeastLatencyOverBacklog <= latency) {
    LearnRate(entry, tokens, latency - options_.fixed_latency - backlog);
  }
}

void PrefillLoad::LearnRate(Replica& replica, std::uint32_t tokens, Duration reading) {
  if (tokens < options_.learn_from_tokens || reading <= Duration::zero()) {
    return;
  }
  const double seen =
      std::clamp(tokens / ToMilliseconds(reading), kLeastTokensPerMs, kMostTokensPerMs);
  replica.rate.Add(seen);
  rates_[replica.backend].Add(seen);
}

}  // namespace cloverbank

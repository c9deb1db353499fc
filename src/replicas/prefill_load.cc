#include "replicas/prefill_load.h"

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

Duration PrefillLoad::RecentLoad(std::string_view replica, TimePoint now) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() ? Duration::zero() : RecentLoadAt(found->second, now);
}

Duration PrefillLoad::RecentLoadAt(const Replica& replica, TimePoint now) const {
  const double half_lives = std::chrono::duration<double>(now - replica.recent_load_at) /
                            std::chrono::duration<double>(options_.recent_load_half_life);
  return std::chrono::duration_cast<Duration>(replica.recent_load * std::exp2(-half_lives));
}

Duration PrefillLoad::DelayOf(const Replica& replica, TimePoint now) const {
  const double half_lives = std::chrono::duration<double>(now - replica.delay_at) /
                            std::chrono::duration<double>(options_.delay_half_life);
  return std::chrono::duration_cast<Duration>(replica.delay * std::exp2(-half_lives));
}

void PrefillLoad::Watch(const std::string& replica, const std::string& backend) {
  replicas_[replica].backend = backend;
}

const PrefillLoad::BackendThroughput* PrefillLoad::FindBackend(std::string_view replica) const {
  const auto found = replicas_.find(replica);
  const auto backend = backends_.find(found == replicas_.end() ? "" : found->second.backend);
  return backend == backends_.end() ? nullptr : &backend->second;
}

double PrefillLoad::TokensPerMillisecond(std::string_view replica, std::uint32_t tokens) const {
  const auto found = replicas_.find(replica);
  std::optional<double> rate;
  if (found != replicas_.end()) {
    rate = found->second.speed.TokensPerMillisecond(tokens);
  }
  const BackendThroughput* backend = FindBackend(replica);
  if (!rate && backend != nullptr) {
    rate = backend->speed.TokensPerMillisecond(tokens);
  }
  return rate.value_or(options_.first_tokens_per_ms);
}

bool PrefillLoad::ExpectsLongPrompts(std::string_view replica, TimePoint now) const {
  const BackendThroughput* backend = FindBackend(replica);
  return backend != nullptr && backend->last_long_prompt &&
         now - *backend->last_long_prompt <= options_.long_prompts_expected;
}

Duration PrefillLoad::FixedLatency(std::string_view replica) const {
  const BackendThroughput* backend = FindBackend(replica);
  if (backend == nullptr || !backend->fixed_latency_ms.value()) {
    return options_.first_fixed_latency;
  }
  const std::chrono::duration<double, std::milli> fixed(*backend->fixed_latency_ms.value());
  return std::chrono::duration_cast<Duration>(fixed);
}

std::uint32_t PrefillLoad::TokensToRead(std::string_view replica, const PromptShape& shape,
                                        bool home) const {
  bool kept = home;
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && shape.shared_key != 0) {
    kept = kept || found->second.positions.contains(shape.shared_key);
  }
  const std::uint32_t shared = std::min(shape.shared_tokens, shape.prompt_tokens);
  return shape.prompt_tokens - (kept && shape.shared_key != 0 ? shared : 0);
}

Duration PrefillLoad::TimeFor(std::string_view replica, std::uint32_t tokens) const {
  const std::chrono::duration<double, std::milli> time(tokens /
                                                       TokensPerMillisecond(replica, tokens));
  return std::chrono::duration_cast<Duration>(time);
}

void PrefillLoad::OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key,
                          TimePoint now) {
  Replica& entry = replicas_[replica];
  const Duration reading = TimeFor(replica, tokens);
  entry.busy_until = std::max(entry.busy_until, now) + reading;
  entry.recent_load = RecentLoadAt(entry, now) + reading;
  entry.recent_load_at = now;
  if (IsLong(tokens)) {
    backends_[entry.backend].last_long_prompt = now;
  }
  if (key != 0) {
    Remember(entry, key);
  }
}

void PrefillLoad::Remember(Replica& replica, std::uint64_t key) {
  const auto known = replica.positions.find(key);
  if (known != replica.positions.end()) {
    replica.recent.splice(replica.recent.begin(), replica.recent, known->second);
    return;
  }
  replica.recent.push_front(key);
  replica.positions[key] = replica.recent.begin();
  if (replica.recent.size() > options_.keys_per_replica) {
    replica.positions.erase(replica.recent.back());
    replica.recent.pop_back();
  }
}

void PrefillLoad::OnFirstByte(const std::string& replica, std::uint32_t tokens, Duration backlog,
                              Duration latency, TimePoint now) {
  Replica& entry = replicas_[replica];
  const Duration expected =
      backlog + TimeFor(replica, tokens) + FixedLatency(replica) + options_.delay_tolerance;
  const Duration late = std::max(Duration::zero(), latency - expected);
  const Duration expired = DelayOf(entry, now);
  entry.delay = std::chrono::duration_cast<Duration>(expired * (1 - options_.delay_weight) +
                                                     late * options_.delay_weight);
  entry.delay_at = now;
  if (backlog * kLeastLatencyOverBacklog <= latency) {
    Learn(replica, tokens, latency - backlog);
  }
}

void PrefillLoad::Learn(const std::string& replica, std::uint32_t tokens, Duration latency) {
  Replica& entry = replicas_[replica];
  BackendThroughput& backend = backends_[entry.backend];
  if (tokens < options_.learn_from_tokens) {
    const Duration fixed = std::max(Duration::zero(), latency - TimeFor(replica, tokens));
    backend.fixed_latency_ms.Add(ToMilliseconds(fixed));
    return;
  }
  const Duration reading = latency - FixedLatency(replica);
  if (reading <= Duration::zero()) {
    return;
  }
  const double seen =
      std::clamp(tokens / ToMilliseconds(reading), kLeastTokensPerMs, kMostTokensPerMs);
  entry.speed.Add(tokens, seen);
  backend.speed.Add(tokens, seen);
}

}  // namespace cloverbank

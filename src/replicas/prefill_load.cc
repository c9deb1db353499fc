#include "replicas/prefill_load.h"

#include <algorithm>
#include <cmath>

namespace cloverbank {
namespace {

constexpr double kMinimumTokensPerMs = 10;
constexpr double kMaximumTokensPerMs = 2000;
/// A response is a sample only if its latency is at least this multiple of the backlog. Otherwise
/// the wait for other prompts dominates, and the latency says nothing about the throughput.
constexpr int kMinimumLatencyOverBacklog = 4;

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
  return known + DecayedDelay(entry, now);
}

Duration PrefillLoad::RecentLoad(std::string_view replica, TimePoint now) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() ? Duration::zero() : DecayedRecentLoad(found->second, now);
}

Duration PrefillLoad::DecayedRecentLoad(const Replica& replica, TimePoint now) const {
  const double half_lives = std::chrono::duration<double>(now - replica.recent_load_at) /
                            std::chrono::duration<double>(options_.recent_load_half_life);
  return std::chrono::duration_cast<Duration>(replica.recent_load * std::exp2(-half_lives));
}

Duration PrefillLoad::DecayedDelay(const Replica& replica, TimePoint now) const {
  const double half_lives = std::chrono::duration<double>(now - replica.delay_at) /
                            std::chrono::duration<double>(options_.delay_half_life);
  return std::chrono::duration_cast<Duration>(replica.delay * std::exp2(-half_lives));
}

void PrefillLoad::AddReplica(const std::string& replica, const std::string& backend) {
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
    rate = found->second.throughput.TokensPerMillisecond(tokens);
  }
  const BackendThroughput* backend = FindBackend(replica);
  if (!rate && backend != nullptr) {
    rate = backend->throughput.TokensPerMillisecond(tokens);
  }
  return rate.value_or(options_.initial_tokens_per_ms);
}

bool PrefillLoad::ExpectsLongPrompts(std::string_view replica, TimePoint now) const {
  const BackendThroughput* backend = FindBackend(replica);
  return backend != nullptr && backend->last_long_prompt &&
         now - *backend->last_long_prompt <= options_.long_prompts_expected_for;
}

Duration PrefillLoad::FixedLatency(std::string_view replica) const {
  const BackendThroughput* backend = FindBackend(replica);
  if (backend == nullptr || !backend->fixed_latency_ms.value()) {
    return options_.initial_fixed_latency;
  }
  const std::chrono::duration<double, std::milli> fixed(*backend->fixed_latency_ms.value());
  return std::chrono::duration_cast<Duration>(fixed);
}

std::uint32_t PrefillLoad::TokensToPrefill(std::string_view replica, const PromptShape& shape,
                                           bool preferred) const {
  bool cached = preferred;
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && shape.shared_key != 0) {
    cached = cached || found->second.key_positions.contains(shape.shared_key);
  }
  const std::uint32_t shared = std::min(shape.shared_tokens, shape.prompt_tokens);
  return shape.prompt_tokens - (cached && shape.shared_key != 0 ? shared : 0);
}

Duration PrefillLoad::PrefillTime(std::string_view replica, std::uint32_t tokens) const {
  const std::chrono::duration<double, std::milli> time(tokens /
                                                       TokensPerMillisecond(replica, tokens));
  return std::chrono::duration_cast<Duration>(time);
}

void PrefillLoad::OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key,
                          TimePoint now) {
  Replica& entry = replicas_[replica];
  const Duration prefill_time = PrefillTime(replica, tokens);
  entry.busy_until = std::max(entry.busy_until, now) + prefill_time;
  entry.recent_load = DecayedRecentLoad(entry, now) + prefill_time;
  entry.recent_load_at = now;
  if (IsLong(tokens)) {
    backends_[entry.backend].last_long_prompt = now;
  }
  if (key != 0) {
    RecordKey(entry, key);
  }
}

void PrefillLoad::RecordKey(Replica& replica, std::uint64_t key) {
  const auto known = replica.key_positions.find(key);
  if (known != replica.key_positions.end()) {
    replica.recent_keys.splice(replica.recent_keys.begin(), replica.recent_keys, known->second);
    return;
  }
  replica.recent_keys.push_front(key);
  replica.key_positions[key] = replica.recent_keys.begin();
  if (replica.recent_keys.size() > options_.keys_per_replica) {
    replica.key_positions.erase(replica.recent_keys.back());
    replica.recent_keys.pop_back();
  }
}

void PrefillLoad::OnFirstByte(const std::string& replica, std::uint32_t tokens, Duration backlog,
                              Duration latency, TimePoint now) {
  Replica& entry = replicas_[replica];
  const Duration expected =
      backlog + PrefillTime(replica, tokens) + FixedLatency(replica) + options_.delay_tolerance;
  const Duration excess_delay = std::max(Duration::zero(), latency - expected);
  const Duration decayed_delay = DecayedDelay(entry, now);
  entry.delay = std::chrono::duration_cast<Duration>(decayed_delay * (1 - options_.delay_weight) +
                                                     excess_delay * options_.delay_weight);
  entry.delay_at = now;
  if (backlog * kMinimumLatencyOverBacklog <= latency) {
    AddLatencySample(replica, tokens, latency - backlog);
  }
}

void PrefillLoad::AddLatencySample(const std::string& replica, std::uint32_t tokens,
                                   Duration latency) {
  Replica& entry = replicas_[replica];
  BackendThroughput& backend = backends_[entry.backend];
  if (tokens < options_.minimum_sample_tokens) {
    const Duration fixed = std::max(Duration::zero(), latency - PrefillTime(replica, tokens));
    backend.fixed_latency_ms.Add(ToMilliseconds(fixed));
    return;
  }
  const Duration prefill_time = latency - FixedLatency(replica);
  if (prefill_time <= Duration::zero()) {
    return;
  }
  const double tokens_per_ms =
      std::clamp(tokens / ToMilliseconds(prefill_time), kMinimumTokensPerMs, kMaximumTokensPerMs);
  entry.throughput.Add(tokens, tokens_per_ms);
  backend.throughput.Add(tokens, tokens_per_ms);
}

}  // namespace cloverbank

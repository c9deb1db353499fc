#include "gateway/prefill_load.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr double kLeastTokensPerMs = 10;
constexpr double kMostTokensPerMs = 2000;

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Duration PrefillLoad::Backlog(std::string_view replica, TimePoint now) const {
  const auto found = replicas_.find(replica);
  const bool busy = found != replicas_.end() && found->second.busy_until > now;
  return busy ? found->second.busy_until - now : Duration::zero();
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

Duration PrefillLoad::TimeFor(std::uint32_t tokens) const {
  const std::chrono::duration<double, std::milli> time(tokens / tokens_per_ms_);
  return std::chrono::duration_cast<Duration>(time);
}

void PrefillLoad::OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key,
                          TimePoint now) {
  Replica& entry = replicas_[replica];
  entry.busy_until = std::max(entry.busy_until, now) + TimeFor(tokens);
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

void PrefillLoad::OnFirstByte(std::uint32_t tokens, Duration backlog, Duration latency) {
  const Duration reading = latency - options_.fixed_latency;
  if (tokens < options_.learn_from_tokens || backlog > Duration::zero() ||
      reading <= Duration::zero()) {
    return;
  }
  const double seen = std::clamp(tokens / ToMilliseconds(reading), kLeastTokensPerMs,
                                 kMostTokensPerMs);
  tokens_per_ms_ += options_.learning_weight * (seen - tokens_per_ms_);
}

}  // namespace cloverbank

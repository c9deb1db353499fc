#include "replicas/replica_health.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::uint32_t kMaximumEjectionDoublings = 10;
constexpr std::int64_t kLatencyWeight = 5;  // Of the previous average; a new sample has 1.
constexpr std::size_t kMinimumPeers = 3;    // The median of fewer is meaningless.
constexpr std::uint32_t kPercent = 100;

}  // namespace

void ReplicaHealth::Reset(const std::string& id, const std::string& backend, Duration start_delay) {
  ReplicaState state;
  state.backend = backend;
  state.start_delay = start_delay;
  if (const ReplicaState* previous = Find(id)) {
    state.in_flight = previous->in_flight;
  }
  if (!options_.probed) {
    state.condition = ReplicaCondition::kHealthy;
    state.start_delay = Duration::zero();
    state.seen_serving = true;
    state.slow_start_began = TimePoint() - options_.slow_start_time;
  }
  replicas_[id] = state;
}

void ReplicaHealth::Remove(const std::string& id) { replicas_.erase(id); }

void ReplicaHealth::OnProbe(const std::string& id, bool healthy, bool warm, TimePoint now) {
  ReplicaState* state = Find(id);
  if (state == nullptr) {
    return;
  }
  if (!healthy) {
    OnTimeout(*state, now);
    return;
  }
  state->consecutive_timeouts = 0;
  switch (state->condition) {
    case ReplicaCondition::kUnproven:
      MarkHealthy(*state, now);
      if (warm) {
        state->seen_serving = true;
        state->slow_start_began = now - options_.slow_start_time;
      }
      break;
    case ReplicaCondition::kSuspect:
      state->condition = ReplicaCondition::kHealthy;
      break;
    case ReplicaCondition::kEjected:
      if (now >= state->ejected_until) {
        state->condition = ReplicaCondition::kTrial;
      }
      break;
    case ReplicaCondition::kHealthy:
    case ReplicaCondition::kTrial:
      break;
  }
}

void ReplicaHealth::OnCallStarted(const std::string& id, TimePoint now) {
  ReplicaState* state = Find(id);
  if (state == nullptr) {
    return;
  }
  if (state->in_flight == 0) {
    state->last_activity = now;
  }
  ++state->in_flight;
  const bool ejected = state->condition == ReplicaCondition::kEjected;
  if (!options_.probed && ejected && now >= state->ejected_until) {
    state->condition = ReplicaCondition::kTrial;
  }
}

void ReplicaHealth::OnCallEnded(const std::string& id, CallOutcome outcome, TimePoint now) {
  ReplicaState* state = Find(id);
  if (state == nullptr) {
    return;
  }
  state->in_flight -= std::min(state->in_flight, 1U);
  switch (outcome) {
    case CallOutcome::kSuccess:
      OnSuccess(*state, now);
      break;
    case CallOutcome::kFailed:
      ++state->failures;
      if (state->condition == ReplicaCondition::kTrial) {
        Eject(*state, now);
      } else if (state->failures >= options_.failures_to_eject) {
        EjectOnSoftEvidence(*state, now);
      }
      break;
    case CallOutcome::kNoResponse:
    case CallOutcome::kNotConnected:
      OnTimeout(*state, now);
      break;
    case CallOutcome::kRefused:
    case CallOutcome::kCancelled:
      break;
  }
  if (state->condition == ReplicaCondition::kSuspect) {
    state->suspected_at = now;
  }
}

void ReplicaHealth::OnBytesReceived(const std::string& id, TimePoint now) {
  if (ReplicaState* state = Find(id)) {
    state->last_activity = now;
  }
}

bool ReplicaHealth::IsStalled(const std::string& id, TimePoint now) const {
  const ReplicaState* state = Find(id);
  return state != nullptr && IsStalled(*state, now);
}

bool ReplicaHealth::IsStalled(const ReplicaState& state, TimePoint now) const {
  return options_.stall_limit > Duration::zero() && state.in_flight > 0 &&
         now - state.last_activity > options_.stall_limit;
}

void ReplicaHealth::OnLatency(const std::string& id, Duration latency) {
  ReplicaState* state = Find(id);
  if (state == nullptr) {
    return;
  }
  const bool first = state->latency_samples == 0;
  state->latency =
      first ? latency : (state->latency * kLatencyWeight + latency) / (kLatencyWeight + 1);
  ++state->latency_samples;
}

void ReplicaHealth::Evaluate(TimePoint now) {
  std::map<std::string_view, std::vector<ReplicaState*>> by_backend;
  for (auto& [id, state] : replicas_) {
    const bool healthy = state.condition == ReplicaCondition::kHealthy;
    if (healthy && state.ejections > 0 &&
        now - state.ejections_decayed_at >= options_.ejection_decay_interval) {
      --state.ejections;
      state.ejections_decayed_at = now;
    }
    if (healthy && state.latency_samples >= options_.minimum_latency_samples) {
      by_backend[state.backend].push_back(&state);
    }
  }
  for (const auto& [backend, peers] : by_backend) {
    EvaluateLatency(peers, now);
  }
}

void ReplicaHealth::EvaluateLatency(const std::vector<ReplicaState*>& peers, TimePoint now) {
  if (peers.size() < kMinimumPeers) {
    return;
  }
  std::vector<Duration> latencies;
  latencies.reserve(peers.size());
  for (const ReplicaState* state : peers) {
    latencies.push_back(state->latency);
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  const auto bound =
      std::max(options_.slow_latency_minimum,
               std::chrono::duration_cast<Duration>(*middle * options_.slow_latency_factor));
  for (ReplicaState* state : peers) {
    if (state->latency > bound) {
      EjectOnSoftEvidence(*state, now);
    }
  }
}

Usability ReplicaHealth::GetUsability(const std::string& id, TimePoint now) const {
  const ReplicaState* state = Find(id);
  if (state == nullptr) {
    return Usability::kNo;
  }
  switch (state->condition) {
    case ReplicaCondition::kHealthy: {
      if (now < state->healthy_since + state->start_delay) {
        return Usability::kNo;
      }
      return IsStalled(*state, now) ? Usability::kLastResort : Usability::kYes;
    }
    case ReplicaCondition::kSuspect:
      return Usability::kLastResort;
    case ReplicaCondition::kTrial: {
      const bool trial_allowed = state->in_flight == 0 && now >= state->ejected_until;
      return trial_allowed ? Usability::kYes : Usability::kNo;
    }
    case ReplicaCondition::kEjected: {
      const bool trial_allowed =
          !options_.probed && state->in_flight == 0 && now >= state->ejected_until;
      return trial_allowed ? Usability::kYes : Usability::kNo;
    }
    case ReplicaCondition::kUnproven:
      return Usability::kNo;
  }
  return Usability::kNo;
}

ReplicaCondition ReplicaHealth::GetCondition(const std::string& id) const {
  const ReplicaState* state = Find(id);
  return state == nullptr ? ReplicaCondition::kUnproven : state->condition;
}

bool ReplicaHealth::IsSuspectTrialDue(const std::string& id, Duration wait, TimePoint now) const {
  const ReplicaState* state = Find(id);
  return state != nullptr && state->condition == ReplicaCondition::kSuspect &&
         state->in_flight == 0 && now - state->suspected_at >= wait;
}

std::uint32_t ReplicaHealth::GetLimit(const std::string& id, std::uint32_t capacity,
                                      TimePoint now) const {
  const ReplicaState* state = Find(id);
  if (state == nullptr || capacity == 0) {
    return 0;
  }
  const bool single_call = state->condition == ReplicaCondition::kTrial ||
                           state->condition == ReplicaCondition::kEjected;
  if (single_call || !state->seen_serving) {
    return 1;
  }
  const Duration elapsed = now - state->slow_start_began;
  if (elapsed >= options_.slow_start_time) {
    return capacity;
  }
  const double fraction =
      static_cast<double>(elapsed.count()) / static_cast<double>(options_.slow_start_time.count());
  const auto grown = static_cast<std::uint32_t>(fraction * (capacity - 1));
  return 1 + grown;
}

bool ReplicaHealth::IsInSlowStart(const std::string& id, TimePoint now) const {
  const ReplicaState* state = Find(id);
  if (state == nullptr) {
    return false;
  }
  const bool healthy = state->condition == ReplicaCondition::kHealthy;
  const bool grown =
      state->seen_serving && now - state->slow_start_began >= options_.slow_start_time;
  return state->condition == ReplicaCondition::kTrial || (healthy && !grown);
}

void ReplicaHealth::OnServingObserved(const std::string& id, TimePoint now) {
  ReplicaState* state = Find(id);
  if (state != nullptr && state->condition == ReplicaCondition::kTrial) {
    MarkHealthy(*state, now);  // A served call of any gateway completes the trial.
  }
  if (state != nullptr && state->condition == ReplicaCondition::kHealthy && !state->seen_serving) {
    state->seen_serving = true;
    state->slow_start_began = now;
  }
}

ReplicaHealth::ReplicaState* ReplicaHealth::Find(const std::string& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

const ReplicaHealth::ReplicaState* ReplicaHealth::Find(const std::string& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

void ReplicaHealth::MarkHealthy(ReplicaState& state, TimePoint now) {
  state.failures = 0;
  state.consecutive_timeouts = 0;
  state.seen_serving = false;
  if (state.condition == ReplicaCondition::kTrial) {
    state.start_delay = Duration::zero();
  }
  state.condition = ReplicaCondition::kHealthy;
  state.healthy_since = now;
  state.ejections_decayed_at = now;
}

void ReplicaHealth::OnSuccess(ReplicaState& state, TimePoint now) {
  state.failures = 0;
  state.consecutive_timeouts = 0;
  switch (state.condition) {
    case ReplicaCondition::kTrial:
      MarkHealthy(state, now);
      break;
    case ReplicaCondition::kSuspect:
      state.condition = ReplicaCondition::kHealthy;
      break;
    case ReplicaCondition::kUnproven:
    case ReplicaCondition::kHealthy:
    case ReplicaCondition::kEjected:
      break;
  }
}

void ReplicaHealth::OnTimeout(ReplicaState& state, TimePoint now) {
  ++state.consecutive_timeouts;
  const bool proven = state.condition == ReplicaCondition::kHealthy ||
                      state.condition == ReplicaCondition::kSuspect;
  const bool threshold_reached = proven && state.consecutive_timeouts >= options_.timeouts_to_eject;
  if (state.condition == ReplicaCondition::kTrial || threshold_reached) {
    Eject(state, now);
  } else if (proven) {
    state.condition = ReplicaCondition::kSuspect;
    state.suspected_at = now;
  }
}

void ReplicaHealth::Eject(ReplicaState& state, TimePoint now) {
  if (state.condition == ReplicaCondition::kUnproven) {
    return;  // It gets no calls before a good probe anyway.
  }
  if (state.condition == ReplicaCondition::kEjected) {
    return;  // A call that began before the ejection has ended.
  }
  const std::uint32_t doublings = std::min(state.ejections, kMaximumEjectionDoublings);
  const Duration ejection_time = options_.base_ejection * (std::int64_t{1} << doublings);
  state.condition = ReplicaCondition::kEjected;
  state.ejected_until = now + std::min(ejection_time, options_.maximum_ejection);
  ++state.ejections;
  state.latency_samples = 0;
}

void ReplicaHealth::EjectOnSoftEvidence(ReplicaState& state, TimePoint now) {
  if (IsSoftEjectionAllowed(state.backend)) {
    Eject(state, now);
  }
}

bool ReplicaHealth::IsSoftEjectionAllowed(const std::string& backend) const {
  std::uint32_t all = 0;
  std::uint32_t ejected = 0;
  for (const auto& [id, state] : replicas_) {
    if (state.backend != backend) {
      continue;
    }
    ++all;
    const bool is_ejected = state.condition == ReplicaCondition::kEjected ||
                            state.condition == ReplicaCondition::kTrial;
    ejected += is_ejected ? 1 : 0;
  }
  return (ejected + 1) * kPercent <= all * options_.maximum_ejected_percent;
}

}  // namespace cloverbank

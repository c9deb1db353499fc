#include "replicas/replica_health.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::uint32_t kLargestEjectionDoubling = 10;
constexpr std::int64_t kLatencyWeight = 5;  // Of the past, against 1 for the newest.
constexpr std::size_t kFewestPeers = 3;     // A median of fewer says nothing.
constexpr std::uint32_t kPercent = 100;

}  // namespace

void ReplicaHealth::Reset(const std::string& id, const std::string& backend, Duration start_delay) {
  Watch fresh;
  fresh.backend = backend;
  fresh.start_delay = start_delay;
  if (const Watch* previous = Find(id)) {
    fresh.in_flight = previous->in_flight;
  }
  if (!options_.probed) {
    fresh.condition = ReplicaCondition::kHealthy;
    fresh.start_delay = Duration::zero();
    fresh.at_work = true;
    fresh.slow_start_began = TimePoint() - options_.slow_start_time;
  }
  watches_[id] = fresh;
}

void ReplicaHealth::Remove(const std::string& id) { watches_.erase(id); }

void ReplicaHealth::OnProbe(const std::string& id, bool answered, bool warm, TimePoint now) {
  Watch* watch = Find(id);
  if (watch == nullptr) {
    return;
  }
  if (!answered) {
    OnTimeout(*watch, now);
    return;
  }
  watch->consecutive_timeouts = 0;
  switch (watch->condition) {
    case ReplicaCondition::kUnproven:
      BecomeHealthy(*watch, now);
      if (warm) {
        watch->at_work = true;
        watch->slow_start_began = now - options_.slow_start_time;
      }
      break;
    case ReplicaCondition::kSuspect:
      watch->condition = ReplicaCondition::kHealthy;
      break;
    case ReplicaCondition::kEjected:
      if (now >= watch->ejected_until) {
        watch->condition = ReplicaCondition::kTrial;
      }
      break;
    case ReplicaCondition::kHealthy:
    case ReplicaCondition::kTrial:
      break;
  }
}

void ReplicaHealth::OnCallStarted(const std::string& id, TimePoint now) {
  Watch* watch = Find(id);
  if (watch == nullptr) {
    return;
  }
  if (watch->in_flight == 0) {
    watch->quiet_since = now;
  }
  ++watch->in_flight;
  const bool ejected = watch->condition == ReplicaCondition::kEjected;
  if (!options_.probed && ejected && now >= watch->ejected_until) {
    watch->condition = ReplicaCondition::kTrial;
  }
}

void ReplicaHealth::OnCallEnded(const std::string& id, CallEnd end, TimePoint now) {
  Watch* watch = Find(id);
  if (watch == nullptr) {
    return;
  }
  watch->in_flight -= std::min(watch->in_flight, 1U);
  switch (end) {
    case CallEnd::kSuccess:
      OnGoodCall(*watch, now);
      break;
    case CallEnd::kFailed:
      ++watch->failures;
      if (watch->condition == ReplicaCondition::kTrial) {
        Eject(*watch, now);
      } else if (watch->failures >= options_.failures_to_eject) {
        EjectSoftly(*watch, now);
      }
      break;
    case CallEnd::kNoResponse:
    case CallEnd::kNotConnected:
      OnTimeout(*watch, now);
      break;
    case CallEnd::kRefused:
    case CallEnd::kWithdrawn:
      break;
  }
}

void ReplicaHealth::OnHeard(const std::string& id, TimePoint now) {
  if (Watch* watch = Find(id)) {
    watch->quiet_since = now;
  }
}

bool ReplicaHealth::Stalled(const std::string& id, TimePoint now) const {
  const Watch* watch = Find(id);
  return watch != nullptr && IsStalled(*watch, now);
}

bool ReplicaHealth::IsStalled(const Watch& watch, TimePoint now) const {
  return options_.stall_limit > Duration::zero() && watch.in_flight > 0 &&
         now - watch.quiet_since > options_.stall_limit;
}

void ReplicaHealth::OnLatency(const std::string& id, Duration latency) {
  Watch* watch = Find(id);
  if (watch == nullptr) {
    return;
  }
  const bool first = watch->latency_samples == 0;
  watch->latency =
      first ? latency : (watch->latency * kLatencyWeight + latency) / (kLatencyWeight + 1);
  ++watch->latency_samples;
}

void ReplicaHealth::Evaluate(TimePoint now) {
  std::map<std::string_view, std::vector<Watch*>> by_backend;
  for (auto& [id, watch] : watches_) {
    const bool healthy = watch.condition == ReplicaCondition::kHealthy;
    if (healthy && watch.ejections > 0 && now - watch.forgiven_at >= options_.forgive_after) {
      --watch.ejections;
      watch.forgiven_at = now;
    }
    if (healthy && watch.latency_samples >= options_.slow_samples) {
      by_backend[watch.backend].push_back(&watch);
    }
  }
  for (const auto& [backend, peers] : by_backend) {
    EvaluateLatency(peers, now);
  }
}

void ReplicaHealth::EvaluateLatency(const std::vector<Watch*>& peers, TimePoint now) {
  if (peers.size() < kFewestPeers) {
    return;
  }
  std::vector<Duration> latencies;
  latencies.reserve(peers.size());
  for (const Watch* watch : peers) {
    latencies.push_back(watch->latency);
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  const auto bound = std::max(options_.slow_floor,
                              std::chrono::duration_cast<Duration>(*middle * options_.slow_factor));
  for (Watch* watch : peers) {
    if (watch->latency > bound) {
      EjectSoftly(*watch, now);
    }
  }
}

Usability ReplicaHealth::GetUsability(const std::string& id, TimePoint now) const {
  const Watch* watch = Find(id);
  if (watch == nullptr) {
    return Usability::kNo;
  }
  switch (watch->condition) {
    case ReplicaCondition::kHealthy: {
      if (now < watch->healthy_since + watch->start_delay) {
        return Usability::kNo;
      }
      return IsStalled(*watch, now) ? Usability::kLastResort : Usability::kYes;
    }
    case ReplicaCondition::kSuspect:
      return Usability::kLastResort;
    case ReplicaCondition::kTrial: {
      const bool trial_free = watch->in_flight == 0 && now >= watch->ejected_until;
      return trial_free ? Usability::kYes : Usability::kNo;
    }
    case ReplicaCondition::kEjected: {
      const bool trial_due =
          !options_.probed && watch->in_flight == 0 && now >= watch->ejected_until;
      return trial_due ? Usability::kYes : Usability::kNo;
    }
    case ReplicaCondition::kUnproven:
      return Usability::kNo;
  }
  return Usability::kNo;
}

ReplicaCondition ReplicaHealth::GetCondition(const std::string& id) const {
  const Watch* watch = Find(id);
  return watch == nullptr ? ReplicaCondition::kUnproven : watch->condition;
}

std::uint32_t ReplicaHealth::GetLimit(const std::string& id, std::uint32_t capacity,
                                      TimePoint now) const {
  const Watch* watch = Find(id);
  if (watch == nullptr || capacity == 0) {
    return 0;
  }
  const bool trial = watch->condition == ReplicaCondition::kTrial ||
                     watch->condition == ReplicaCondition::kEjected;
  if (trial || !watch->at_work) {
    return 1;
  }
  const Duration elapsed = now - watch->slow_start_began;
  if (elapsed >= options_.slow_start_time) {
    return capacity;
  }
  const double share =
      static_cast<double>(elapsed.count()) / static_cast<double>(options_.slow_start_time.count());
  const auto grown = static_cast<std::uint32_t>(share * (capacity - 1));
  return 1 + grown;
}

bool ReplicaHealth::IsInSlowStart(const std::string& id, TimePoint now) const {
  const Watch* watch = Find(id);
  if (watch == nullptr) {
    return false;
  }
  const bool healthy = watch->condition == ReplicaCondition::kHealthy;
  const bool grown = watch->at_work && now - watch->slow_start_began >= options_.slow_start_time;
  return watch->condition == ReplicaCondition::kTrial || (healthy && !grown);
}

void ReplicaHealth::OnWorkSeen(const std::string& id, TimePoint now) {
  Watch* watch = Find(id);
  if (watch != nullptr && watch->condition == ReplicaCondition::kTrial) {
    BecomeHealthy(*watch, now);  // Others have tried it already.
  }
  if (watch != nullptr && watch->condition == ReplicaCondition::kHealthy && !watch->at_work) {
    watch->at_work = true;
    watch->slow_start_began = now;
  }
}

ReplicaHealth::Watch* ReplicaHealth::Find(const std::string& id) {
  const auto found = watches_.find(id);
  return found == watches_.end() ? nullptr : &found->second;
}

const ReplicaHealth::Watch* ReplicaHealth::Find(const std::string& id) const {
  const auto found = watches_.find(id);
  return found == watches_.end() ? nullptr : &found->second;
}

void ReplicaHealth::BecomeHealthy(Watch& watch, TimePoint now) {
  watch.failures = 0;
  watch.consecutive_timeouts = 0;
  watch.at_work = false;
  if (watch.condition == ReplicaCondition::kTrial) {
    watch.start_delay = Duration::zero();
  }
  watch.condition = ReplicaCondition::kHealthy;
  watch.healthy_since = now;
  watch.forgiven_at = now;
}

void ReplicaHealth::OnGoodCall(Watch& watch, TimePoint now) {
  watch.failures = 0;
  watch.consecutive_timeouts = 0;
  switch (watch.condition) {
    case ReplicaCondition::kTrial:
      BecomeHealthy(watch, now);
      break;
    case ReplicaCondition::kSuspect:
      watch.condition = ReplicaCondition::kHealthy;
      break;
    case ReplicaCondition::kUnproven:
    case ReplicaCondition::kHealthy:
    case ReplicaCondition::kEjected:
      break;
  }
}

void ReplicaHealth::OnTimeout(Watch& watch, TimePoint now) {
  ++watch.consecutive_timeouts;
  const bool proven = watch.condition == ReplicaCondition::kHealthy ||
                      watch.condition == ReplicaCondition::kSuspect;
  const bool enough = proven && watch.consecutive_timeouts >= options_.timeouts_to_eject;
  if (watch.condition == ReplicaCondition::kTrial || enough) {
    Eject(watch, now);
  } else if (proven) {
    watch.condition = ReplicaCondition::kSuspect;
  }
}

void ReplicaHealth::Eject(Watch& watch, TimePoint now) {
  if (watch.condition == ReplicaCondition::kUnproven) {
    return;  // Gets no call before a good probe anyway.
  }
  if (watch.condition == ReplicaCondition::kEjected) {
    return;  // Ends of calls that began before the ejection.
  }
  const std::uint32_t doublings = std::min(watch.ejections, kLargestEjectionDoubling);
  const Duration time = options_.base_ejection * (std::int64_t{1} << doublings);
  watch.condition = ReplicaCondition::kEjected;
  watch.ejected_until = now + std::min(time, options_.maximum_ejection);
  ++watch.ejections;
  watch.latency_samples = 0;
}

void ReplicaHealth::EjectSoftly(Watch& watch, TimePoint now) {
  if (IsSoftEjectionAllowed(watch.backend)) {
    Eject(watch, now);
  }
}

bool ReplicaHealth::IsSoftEjectionAllowed(const std::string& backend) const {
  std::uint32_t all = 0;
  std::uint32_t ejected = 0;
  for (const auto& [id, watch] : watches_) {
    if (watch.backend != backend) {
      continue;
    }
    ++all;
    const bool out = watch.condition == ReplicaCondition::kEjected ||
                     watch.condition == ReplicaCondition::kTrial;
    ejected += out ? 1 : 0;
  }
  return (ejected + 1) * kPercent <= all * options_.maximum_ejected_percent;
}

}  // namespace cloverbank

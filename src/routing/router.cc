#include "routing/router.h"

#include <algorithm>
#include <cmath>

#include "base/checksum.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kPercent = 100;
/// Part of a replica's capacity up to which batch work may start, unless configured.
constexpr std::uint32_t kDefaultBatchCapacityPercent = 70;
/// If loads are not reported, a gateway keeps the rest of its quota free for live calls.
constexpr std::uint32_t kUnreportedBatchCapacityPercent = 90;
constexpr std::uint32_t kOtherZoneRank = 4;  // After the gateway's zone and region, busy or not.
constexpr std::uint32_t kLastResortRankPenalty = 5;  // Added to the rank of a last resort.
constexpr Duration kLastResortCostPenalty = seconds(10);
/// Between the turns of two gateways of a zone to try a suspect replica with one batch item.
constexpr Duration kSuspectTrialInterval = milliseconds(100);
/// Added while the gateway has another replica for batch work, so that items do not wait at
/// replicas that have just gone dark.
constexpr Duration kSuspectTrialDelay = seconds(5);

/// A replica with its rendezvous weight for one key.
struct WeightedReplica {
  std::uint64_t weight = 0;
  const ReplicaRecord* replica = nullptr;
};

template <typename List>
auto FindByName(const List& list, std::string_view name) -> decltype(&*list.begin()) {
  const auto found =
      std::lower_bound(list.begin(), list.end(), name,
                       [](const auto& entry, std::string_view key) { return entry.name() < key; });
  return found != list.end() && found->name() == name ? &*found : nullptr;
}

std::uint32_t BatchCapacityPercent(const proto::RoutingConfiguration& configuration,
                                   std::uint32_t default_percent) {
  const std::uint32_t percent = configuration.batch().live_headroom_percent();
  return percent == 0 ? default_percent : std::min(percent, kPercent);
}

}  // namespace

std::string_view RoutingFailureName(RoutingFailure failure) {
  switch (failure) {
    case RoutingFailure::kNone:
      return "none";
    case RoutingFailure::kNoReadyReplica:
      return "no_ready_replica";
    case RoutingFailure::kNoOpenZone:
      return "no_open_zone";
    case RoutingFailure::kNoHealthyReplica:
      return "no_healthy_replica";
    case RoutingFailure::kNoCapacity:
      return "no_room";
  }
  return "none";
}

const proto::Zone* FindZone(const proto::RoutingConfiguration& configuration,
                            std::string_view name) {
  return FindByName(configuration.zones(), name);
}

const proto::Tenant* FindTenant(const proto::RoutingConfiguration& configuration,
                                std::string_view name) {
  return FindByName(configuration.tenants(), name);
}

bool ZoneServes(const proto::RoutingConfiguration& configuration, const proto::Route& route,
                std::string_view zone) {
  const proto::Zone* entry = FindZone(configuration, zone);
  if (entry == nullptr || entry->state() != proto::ZONE_STATE_OPEN) {
    return false;
  }
  const auto& allowed = route.zones();
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), zone) != allowed.end();
}

RoutingChoice Router::Choose(const RoutingQuery& query, TimePoint now) const {
  RoutingChoice choice;
  std::vector<Candidate> candidates = Candidates(query, now, &choice.failure);
  if (candidates.empty()) {
    return choice;
  }
  if (prefill_ != nullptr && query.prompt.known()) {
    choice.replica = ChooseByPrefill(candidates, query, now)->replica;
    return choice;
  }
  const std::uint32_t rank = std::min_element(candidates.begin(), candidates.end(),
                                              [](const Candidate& left, const Candidate& right) {
                                                return left.rank < right.rank;
                                              })
                                 ->rank;
  std::erase_if(candidates, [&](const Candidate& candidate) { return candidate.rank != rank; });
  if (!query.prefix_key.empty()) {
    if (const Candidate* affine = ChooseAffine(candidates, query.prefix_key)) {
      choice.replica = affine->replica;
      return choice;
    }
  }
  std::rotate(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(query.tie_breaker % candidates.size()),
      candidates.end());
  const auto least = std::min_element(
      candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::uint64_t{left.load} * right.limit < std::uint64_t{right.load} * left.limit;
      });
  choice.replica = least->replica;
  return choice;
}

std::vector<Router::Candidate> Router::Candidates(const RoutingQuery& query, TimePoint now,
                                                  RoutingFailure* failure) const {
  std::vector<Candidate> candidates;
  bool open = false;
  bool healthy = false;
  const std::string backend(query.backend.empty() ? query.route->backend() : query.backend);
  const auto& ready = directory_.Ready(query.route->backend_kind(), backend);
  for (const ReplicaRecord* replica : ready) {
    if (!ZoneServes(*query.configuration, *query.route, replica->zone)) {
      continue;
    }
    open = true;
    const Usability usability = health_.GetUsability(replica->id, now);
    if (usability == Usability::kNo) {
      continue;
    }
    healthy = true;
    Candidate candidate = MakeCandidate(*replica, query, now);
    candidate.last_resort = usability == Usability::kLastResort;
    candidate.rank = RankOf(candidate, *query.configuration);
    if (candidate.has_capacity) {
      candidates.push_back(candidate);
    }
  }
  if (!candidates.empty()) {
    *failure = RoutingFailure::kNone;
  } else if (healthy) {
    *failure = RoutingFailure::kNoCapacity;
  } else if (open) {
    *failure = RoutingFailure::kNoHealthyReplica;
  } else {
    *failure = ready.empty() ? RoutingFailure::kNoReadyReplica : RoutingFailure::kNoOpenZone;
  }
  return candidates;
}

Router::Candidate Router::MakeCandidate(const ReplicaRecord& replica, const RoutingQuery& query,
                                        TimePoint now) const {
  Candidate candidate;
  candidate.replica = &replica;
  const auto found = loads_.find(replica.id);
  const ReplicaLoad load = found == loads_.end() ? ReplicaLoad() : found->second;
  const std::uint32_t capacity = load.Capacity(replica.capacity);
  candidate.load = load.total();
  candidate.limit = health_.GetLimit(replica.id, capacity, now);
  const bool excluded = query.excluded != nullptr &&
                        std::find(query.excluded->begin(), query.excluded->end(), replica.id) !=
                            query.excluded->end();
  const bool allowance_spent = options_.load_reported && health_.IsInSlowStart(replica.id, now) &&
                               load.slow_start_allowance(now) == 0;
  const bool rate_limited = slow_start_ != nullptr && !slow_start_->CanStart(replica.id, now);
  const bool limited = allowance_spent || rate_limited;
  const bool blocked = excluded || limited || load.IsRefusing(now);
  candidate.has_capacity = candidate.load < candidate.limit && !blocked;
  if (query.work == WorkKind::kBatch) {
    candidate.has_capacity =
        candidate.has_capacity && BatchSlotsAt(replica, *query.configuration, now) > 0;
  }
  return candidate;
}

bool Router::IsPreferredReplica(const ReplicaRecord& replica, std::string_view prefix_key) const {
  if (prefix_key.empty()) {
    return false;
  }
  const std::uint64_t weight = Checksum(prefix_key, Checksum(replica.id));
  const auto& ready = directory_.Ready(replica.kind, replica.backend);
  return std::none_of(ready.begin(), ready.end(), [&](const ReplicaRecord* other) {
    return other->zone == replica.zone && Checksum(prefix_key, Checksum(other->id)) > weight;
  });
}

std::vector<const ReplicaRecord*> Router::PreferredReplicas(const RoutingQuery& query) const {
  if (query.prefix_key.empty()) {
    return {};
  }
  const std::string backend(query.backend.empty() ? query.route->backend() : query.backend);
  std::map<std::string_view, WeightedReplica> best;
  for (const ReplicaRecord* replica : directory_.Ready(query.route->backend_kind(), backend)) {
    const std::uint64_t weight = Checksum(query.prefix_key, Checksum(replica->id));
    auto& preferred = best[replica->zone];
    if (preferred.replica == nullptr || weight > preferred.weight) {
      preferred = {weight, replica};
    }
  }
  std::vector<const ReplicaRecord*> preferred_replicas;
  preferred_replicas.reserve(best.size());
  for (const auto& [zone, preferred] : best) {
    preferred_replicas.push_back(preferred.replica);
  }
  return preferred_replicas;
}

Duration Router::PrefillCost(const Candidate& candidate, const RoutingQuery& query, bool preferred,
                             TimePoint now) const {
  const ReplicaRecord& replica = *candidate.replica;
  const std::uint32_t tokens = prefill_->TokensToPrefill(replica.id, query.prompt, preferred);
  Duration cost = prefill_->Backlog(replica.id, now) + prefill_->PrefillTime(replica.id, tokens);
  cost += candidate.load * options_.running_call_cost;
  cost += std::chrono::duration_cast<Duration>(prefill_->RecentLoad(replica.id, now) *
                                               options_.recent_load_weight);
  cost += replica.zone == options_.zone ? Duration::zero() : options_.other_zone_cost;
  cost += candidate.last_resort ? kLastResortCostPenalty : Duration::zero();
  const bool accepts_long_prompts = directory_.AcceptsLongPrompts(replica);
  if (prefill_->IsLong(query.prompt.prompt_tokens)) {
    cost += accepts_long_prompts ? Duration::zero() : options_.misplaced_long_prompt_cost;
  } else if (accepts_long_prompts && prefill_->ExpectsLongPrompts(replica.id, now)) {
    cost += options_.misplaced_short_prompt_cost;
  }
  return cost;
}

const Router::Candidate* Router::ChooseByPrefill(const std::vector<Candidate>& candidates,
                                                 const RoutingQuery& query, TimePoint now) const {
  const Candidate* best = nullptr;
  Duration best_cost{};
  const std::vector<const ReplicaRecord*> preferred_replicas = PreferredReplicas(query);
  const std::size_t first = query.tie_breaker % candidates.size();
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const Candidate& candidate = candidates[(first + step) % candidates.size()];
    const bool preferred = std::find(preferred_replicas.begin(), preferred_replicas.end(),
                                     candidate.replica) != preferred_replicas.end();
    const Duration cost = PrefillCost(candidate, query, preferred, now);
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

const Router::Candidate* Router::ChooseAffine(const std::vector<Candidate>& candidates,
                                              std::string_view prefix_key) const {
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.load;
  }
  const double average = (sum + 1) / static_cast<double>(candidates.size());
  const double bound = std::ceil(options_.affinity_bound * average) + options_.affinity_slack;
  const Candidate* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.load + 1 > bound) {
      continue;
    }
    const std::uint64_t weight = Checksum(prefix_key, Checksum(candidate.replica->id));
    if (best == nullptr || weight > best_weight) {
      best = &candidate;
      best_weight = weight;
    }
  }
  return best;
}

std::uint32_t Router::FreeBatchSlots(const proto::RoutingConfiguration& configuration,
                                     const std::string& backend, TimePoint now) const {
  std::uint32_t slots = 0;
  for (const proto::BackendKind kind :
       {proto::BACKEND_KIND_MODEL, proto::BACKEND_KIND_SERVICE, proto::BACKEND_KIND_HTTP}) {
    for (const ReplicaRecord* replica : directory_.Ready(kind, backend)) {
      const proto::Zone* zone = FindZone(configuration, replica->zone);
      const bool open = zone != nullptr && zone->state() == proto::ZONE_STATE_OPEN;
      slots += open ? BatchSlotsAt(*replica, configuration, now) : 0;
    }
  }
  return slots;
}

std::uint32_t Router::BatchSlotsAt(const ReplicaRecord& replica,
                                   const proto::RoutingConfiguration& configuration,
                                   TimePoint now) const {
  switch (health_.GetUsability(replica.id, now)) {
    case Usability::kNo:
      return 0;
    case Usability::kLastResort:
      return IsSuspectTrialDue(replica, now)
                 ? std::min(1U, BatchSlotsByLoad(replica, configuration, now))
                 : 0;
    case Usability::kYes:
      return BatchSlotsByLoad(replica, configuration, now);
  }
  return 0;
}

bool Router::IsSuspectTrialDue(const ReplicaRecord& replica, TimePoint now) const {
  const std::int64_t turn = quota_.TurnFor(replica.id, replica.zone);
  const Duration wait = kSuspectTrialInterval * (turn + 1);
  return health_.IsSuspectTrialDue(
      replica.id, HasSoundPeer(replica, now) ? wait + kSuspectTrialDelay : wait, now);
}

bool Router::HasSoundPeer(const ReplicaRecord& replica, TimePoint now) const {
  const auto& ready = directory_.Ready(replica.kind, replica.backend);
  return std::any_of(ready.begin(), ready.end(), [&](const ReplicaRecord* other) {
    return quota_.SlotsFor(other->id, other->zone, std::max(1U, other->capacity)) > 0 &&
           health_.GetUsability(other->id, now) == Usability::kYes;
  });
}

std::uint32_t Router::BatchSlotsByLoad(const ReplicaRecord& replica,
                                       const proto::RoutingConfiguration& configuration,
                                       TimePoint now) const {
  const auto found = loads_.find(replica.id);
  if (!options_.load_reported) {
    const bool refusing = found != loads_.end() && found->second.IsRefusing(now);
    const bool rate_limited = slow_start_ != nullptr && !slow_start_->CanStart(replica.id, now);
    const bool backlogged =
        prefill_ != nullptr && prefill_->Backlog(replica.id, now) > options_.maximum_batch_backlog;
    const bool blocked = refusing || rate_limited || backlogged;
    return blocked ? 0 : UnreportedBatchCapacity(replica, configuration, now).free;
  }
  if (found == loads_.end() || found->second.IsRefusing(now)) {
    return 0;
  }
  std::uint32_t slots = std::min(BatchCapacityLimitFor(replica, configuration, now).free,
                                 found->second.batch_allowance(now));
  if (health_.IsInSlowStart(replica.id, now)) {
    slots = std::min(slots, found->second.slow_start_allowance(now));
  }
  return slots;
}

Router::BatchCapacityLimit Router::UnreportedBatchCapacity(
    const ReplicaRecord& replica, const proto::RoutingConfiguration& configuration,
    TimePoint now) const {
  const auto found = loads_.find(replica.id);
  const std::uint32_t own = found == loads_.end() ? 0 : found->second.own();
  // At least 1, otherwise batches would never run on replicas that take one call at a time.
  const std::uint32_t all = std::max(
      1U, replica.capacity * BatchCapacityPercent(configuration, kUnreportedBatchCapacityPercent) /
              kPercent);
  BatchCapacityLimit limit;
  limit.bound = std::min(quota_.SlotsFor(replica.id, replica.zone, all),
                         health_.GetLimit(replica.id, replica.capacity, now));
  limit.free = limit.bound - std::min(limit.bound, own);
  return limit;
}

Router::BatchCapacityLimit Router::BatchCapacityLimitFor(
    const ReplicaRecord& replica, const proto::RoutingConfiguration& configuration,
    TimePoint now) const {
  const auto found = loads_.find(replica.id);
  if (found == loads_.end() || !found->second.reported()) {
    return {};  // Without a report the load of the replica is unknown.
  }
  const ReplicaLoad& load = found->second;
  const std::uint32_t capacity = load.Capacity(replica.capacity);
  // At least 1, otherwise batches would never run on replicas that take one call at a time.
  const std::uint32_t bound = std::max(
      1U, capacity * BatchCapacityPercent(configuration, kDefaultBatchCapacityPercent) / kPercent);
  BatchCapacityLimit limit;
  limit.bound = std::min(bound, health_.GetLimit(replica.id, capacity, now));
  limit.free = limit.bound - std::min(limit.bound, load.total());
  return limit;
}

std::uint32_t Router::RankOf(const Candidate& candidate,
                             const proto::RoutingConfiguration& configuration) const {
  const std::string& zone = candidate.replica->zone;
  const proto::Zone* own = FindZone(configuration, options_.zone);
  const proto::Zone* other = FindZone(configuration, zone);
  const bool same_region = own != nullptr && other != nullptr && own->region() == other->region();
  std::uint32_t rank = kOtherZoneRank;
  if (zone == options_.zone || same_region) {
    const bool busy = candidate.load >= options_.busy_ratio * candidate.limit;
    rank = (zone == options_.zone ? 0 : 1) + (busy ? 2 : 0);
  }
  return rank + (candidate.last_resort ? kLastResortRankPenalty : 0);
}

}  // namespace cloverbank

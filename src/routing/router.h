#pragma once
/// @file
/// Chooses the replica for one call. A candidate is ready (not draining), in an open zone that the
/// route allows, healthy, and has free capacity. If the length of the prompt is known, the
/// candidate with the lowest estimated prefill cost is chosen. Otherwise the nearest candidates are
/// preferred, and among these the one with prefix affinity (rendezvous hashing with bounded load)
/// or the least loaded one. Pure: reads the directory, health and load and changes none of them.
///
/// Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (rendezvous
/// hashing); Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads".

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "proto/configuration.pb.h"
#include "replicas/gateway_quota.h"
#include "replicas/prefill_load.h"
#include "replicas/replica_directory.h"
#include "replicas/replica_health.h"
#include "replicas/replica_load.h"
#include "replicas/slow_start.h"

namespace cloverbank {

/// Load of every known replica, by id.
using LoadTable = std::map<std::string, ReplicaLoad, std::less<>>;

struct RouterOptions {
  std::string zone;  ///< Zone of this gateway.
  double affinity_bound =
      1.25;  ///< Maximum load of the replica with affinity, as a multiple of the average.
  std::uint32_t affinity_slack = 1;  ///< Calls above that maximum that are always allowed.
  double busy_ratio = 0.8;  ///< Load relative to the limit above which calls prefer another zone.
  /// Whether replicas report their load. If not, the capacity for batch work is divided equally
  /// among gateways, and only `SlowStart` limits the calls to replicas in slow start.
  bool load_reported = true;
  /// Cost of a call to another zone: the additional time that the prompt may take in this gateway's
  /// zone before another zone is preferred.
  Duration other_zone_cost = milliseconds(30);
  /// Cost of each call that the gateway counts at the replica.
  Duration running_call_cost = std::chrono::microseconds(400);
  /// Weight of a replica's recent prefill load in its cost; see `PrefillLoad::RecentLoad`.
  double recent_load_weight = 0.2;
  /// Some replicas of each zone are selected for long prompts, and while long prompts are expected,
  /// short prompts avoid these replicas. The costs of sending a long prompt to a replica that is
  /// not selected, and a short prompt to one that is.
  Duration misplaced_long_prompt_cost = milliseconds(80);
  Duration misplaced_short_prompt_cost = milliseconds(60);
  /// Prefill backlog above which no batch item starts at a replica, if loads are not reported.
  Duration maximum_batch_backlog = milliseconds(10);
};

struct RoutingQuery {
  const proto::RoutingConfiguration* configuration = nullptr;
  const proto::Route* route = nullptr;
  std::string_view backend = {};  ///< Chosen from the route's split; empty: the route's single one.
  std::string_view prefix_key;    ///< Key of the shared prompt prefix; empty: no affinity.
  PromptShape prompt = {};
  /// Ids of replicas not to choose, because the call was already tried there; may be null.
  const std::vector<std::string>* excluded = nullptr;
  WorkKind work = WorkKind::kLive;
  std::uint64_t tie_breaker = 0;  ///< A random number; decides between equally good replicas.
};

/// Why no replica was chosen.
enum class RoutingFailure : std::uint8_t {
  kNone,
  kNoReadyReplica,    ///< The platform lists no ready replica of this back end.
  kNoOpenZone,        ///< Ready replicas exist, but none in a zone that is open and allowed.
  kNoHealthyReplica,  ///< All replicas in these zones are ejected or not yet proven healthy.
  kNoCapacity,        ///< None of the healthy replicas can take the call now.
};

/// @return the snake_case name for metrics and error codes. It never changes.
std::string_view RoutingFailureName(RoutingFailure failure);

struct RoutingChoice {
  const ReplicaRecord* replica = nullptr;  ///< Null on failure; valid until the directory changes.
  RoutingFailure failure = RoutingFailure::kNone;
};

/// @return the object of that name, or nullptr. The configuration's lists must be sorted by name.
const proto::Zone* FindZone(const proto::RoutingConfiguration& configuration,
                            std::string_view name);
const proto::Tenant* FindTenant(const proto::RoutingConfiguration& configuration,
                                std::string_view name);

/// @return whether the zone is configured and open, and the route allows it.
bool ZoneServes(const proto::RoutingConfiguration& configuration, const proto::Route& route,
                std::string_view zone);

class Router {
 public:
  /// @param slow_start, @param prefill may be nullptr. All referenced objects must outlive the
  /// router.
  Router(RouterOptions options, const ReplicaDirectory& directory, const ReplicaHealth& health,
         const LoadTable& loads, const SlowStart* slow_start = nullptr,
         const PrefillLoad* prefill = nullptr)
      : options_(std::move(options)),
        directory_(directory),
        health_(health),
        loads_(loads),
        slow_start_(slow_start),
        prefill_(prefill),
        quota_{options_.zone} {}

  /// Sets this gateway's quota of the capacity for batch work; used only if loads are not reported.
  void SetQuota(GatewayQuota quota) { quota_ = std::move(quota); }

  /// Chooses the replica for one call. @return the replica, or why there is none.
  RoutingChoice Choose(const RoutingQuery& query, TimePoint now) const;

  /// Whether `replica` is the preferred replica of its zone for calls with that prefix key, by
  /// rendezvous hashing over the ready replicas. False for an empty key.
  bool IsPreferredReplica(const ReplicaRecord& replica, std::string_view prefix_key) const;

  /// @return how many more batch items may start now on the healthy replicas of a back end in open
  /// zones.
  std::uint32_t FreeBatchSlots(const proto::RoutingConfiguration& configuration,
                               const std::string& backend, TimePoint now) const;

  /// Capacity of one replica for batch work. The remainder of its capacity is kept free for live
  /// calls.
  struct BatchCapacityLimit {
    std::uint32_t bound = 0;  ///< Batch work starts only while fewer calls are at the replica.
    std::uint32_t free = 0;   ///< The bound minus the calls at the replica; at least 0.
  };
  /// @return the capacity according to the replica's last load report; zero without a report.
  BatchCapacityLimit BatchCapacityLimitFor(const ReplicaRecord& replica,
                                           const proto::RoutingConfiguration& configuration,
                                           TimePoint now) const;

 private:
  struct Candidate {
    const ReplicaRecord* replica = nullptr;
    std::uint32_t load = 0;     ///< Estimated number of calls of all gateways at the replica.
    std::uint32_t limit = 0;    ///< Calls that may run at the replica now.
    bool has_capacity = false;  ///< Whether the call may be sent to the replica now.
    bool last_resort = false;   ///< `Usability::kLastResort`.
    std::uint32_t rank = 0;     ///< Lower is preferred; see `RankOf`.
  };

  /// @param failure set to the reason if there is no candidate.
  std::vector<Candidate> Candidates(const RoutingQuery& query, TimePoint now,
                                    RoutingFailure* failure) const;
  Candidate MakeCandidate(const ReplicaRecord& replica, const RoutingQuery& query,
                          TimePoint now) const;
  /// @return how many more batch items may start at the replica now. A replica of last resort gets
  /// none, apart from one at a time as a trial.
  std::uint32_t BatchSlotsAt(const ReplicaRecord& replica,
                             const proto::RoutingConfiguration& configuration, TimePoint now) const;
  /// @return the same by load and quota alone, whatever the replica's health.
  std::uint32_t BatchSlotsByLoad(const ReplicaRecord& replica,
                                 const proto::RoutingConfiguration& configuration,
                                 TimePoint now) const;
  /// Whether it is this gateway's turn to try a suspect replica with one batch item. The wait is
  /// longer while the gateway has a sound replica of the same back end.
  bool IsSuspectTrialDue(const ReplicaRecord& replica, TimePoint now) const;
  /// Whether this gateway has a quota of a replica of the same back end that is not suspect.
  bool HasSoundPeer(const ReplicaRecord& replica, TimePoint now) const;
  /// Ranks by distance and load: replicas that are not busy in this gateway's zone, then in its
  /// region; then busy ones in the same order; then those of all other zones. Replicas of last
  /// resort rank after all others.
  std::uint32_t RankOf(const Candidate& candidate,
                       const proto::RoutingConfiguration& configuration) const;
  /// Capacity if loads are not reported: this gateway's quota of the replica's capacity for batch
  /// work, minus the gateway's own calls.
  BatchCapacityLimit UnreportedBatchCapacity(const ReplicaRecord& replica,
                                             const proto::RoutingConfiguration& configuration,
                                             TimePoint now) const;
  /// @return the preferred replica of each zone for the query's prefix key; see
  /// `IsPreferredReplica`.
  std::vector<const ReplicaRecord*> PreferredReplicas(const RoutingQuery& query) const;
  /// Estimated cost of sending the call to the candidate, as a duration.
  /// @param preferred whether the candidate is the preferred replica for the query's prefix key.
  Duration PrefillCost(const Candidate& candidate, const RoutingQuery& query, bool preferred,
                       TimePoint now) const;
  /// @return the candidate with the lowest `PrefillCost`. @param candidates must not be empty.
  const Candidate* ChooseByPrefill(const std::vector<Candidate>& candidates,
                                   const RoutingQuery& query, TimePoint now) const;
  /// @return the candidate with the highest rendezvous weight among those whose load is within the
  /// affinity bound, or nullptr.
  const Candidate* ChooseAffine(const std::vector<Candidate>& candidates,
                                std::string_view prefix_key) const;

  RouterOptions options_;
  const ReplicaDirectory& directory_;
  const ReplicaHealth& health_;
  const LoadTable& loads_;
  const SlowStart* slow_start_;
  const PrefillLoad* prefill_;
  GatewayQuota quota_;
};

}  // namespace cloverbank

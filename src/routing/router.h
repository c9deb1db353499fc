#pragma once
/// @file
/// Chooses the replica for one call: ready, not draining, in an open zone that the route allows;
/// healthy; with free capacity; nearest first; then by prefix affinity (rendezvous hashing with
/// bounded load), or least loaded. Pure: reads the directory, health and load, changes nothing.
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
  std::string zone;  ///< The gateway's own.
  double affinity_bound =
      1.25;  ///< Maximum load of the affine replica, as a multiple of the average.
  std::uint32_t affinity_slack = 1;  ///< Calls above the bound that are always allowed.
  double busy_ratio = 0.8;  ///< Load relative to the limit above which calls prefer another zone.
  /// Whether replicas report their load. If not, the capacity for batch work is divided equally
  /// among gateways, and slow start is left to `SlowStart`.
  bool load_reported = true;
  /// Cost of a call to another zone, as the extra time its prompt may take in the own zone.
  Duration other_zone_cost = milliseconds(30);
  /// Cost of each call of this gateway that runs at the replica.
  Duration running_call_cost = std::chrono::microseconds(400);
  /// Weight of the recent prefill load of a replica in its cost.
  double recent_load_weight = 0.2;
  /// Where long prompts are expected, some replicas of each zone accept them and short prompts
  /// avoid these. Costs of sending a long prompt elsewhere, and a short one there.
  Duration misplaced_long_prompt_cost = milliseconds(80);
  Duration misplaced_short_prompt_cost = milliseconds(60);
  /// Prefill backlog above which no batch item is started at a replica.
  Duration maximum_batch_backlog = milliseconds(10);
};

struct RoutingQuery {
  const proto::RoutingConfiguration* configuration = nullptr;
  const proto::Route* route = nullptr;
  std::string_view backend = {};  ///< Of the route's split; empty takes the route's only one.
  std::string_view prefix_key;    ///< Empty: no affinity.
  PromptShape prompt = {};
  const std::vector<std::string>* excluded = nullptr;  ///< Replicas tried before; may be null.
  WorkKind work = WorkKind::kLive;
  std::uint64_t tie_breaker = 0;  ///< Random number.
};

/// Why no replica was chosen.
enum class RoutingFailure : std::uint8_t {
  kNone,
  kNoReadyReplica,    ///< The platform lists none that is ready for this back end.
  kNoOpenZone,        ///< Some are ready, but in no zone that is open and allowed.
  kNoHealthyReplica,  ///< All that remain are ejected, or not proven yet.
  kNoCapacity,        ///< All that remain are full.
};

/// @return the stable snake_case name, for metrics and error codes.
std::string_view RoutingFailureName(RoutingFailure failure);

struct RoutingChoice {
  const ReplicaRecord* replica = nullptr;  ///< Valid until the directory changes.
  RoutingFailure failure = RoutingFailure::kNone;
};

/// @return the object of that name in a list sorted by name, or nullptr.
const proto::Route* FindRoute(const proto::RoutingConfiguration& configuration,
                              std::string_view name);
const proto::Zone* FindZone(const proto::RoutingConfiguration& configuration,
                            std::string_view name);
const proto::Tenant* FindTenant(const proto::RoutingConfiguration& configuration,
                                std::string_view name);

/// @return whether the zone is open and the route allows it.
bool ZoneServes(const proto::RoutingConfiguration& configuration, const proto::Route& route,
                std::string_view zone);

class Router {
 public:
  /// @param slow_start, @param prefill may be nullptr. All referred to must outlive the router.
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

  /// Sets this gateway's part of the capacity for batch work; used if loads are not reported.
  void SetQuota(GatewayQuota quota) { quota_ = std::move(quota); }

  RoutingChoice Choose(const RoutingQuery& query, TimePoint now) const;

  /// Whether `replica` is the preferred replica of its zone for calls of that key (rendezvous
  /// hashing).
  bool IsHome(const ReplicaRecord& replica, std::string_view prefix_key) const;

  /// @return how many further batch items may start on the replicas of a back end in open zones.
  std::uint32_t FreeBatchSlots(const proto::RoutingConfiguration& configuration,
                               const std::string& backend, TimePoint now) const;

  /// Capacity of one replica for batch work, as of its last report.
  struct BatchCapacityReserve {
    std::uint32_t bound = 0;  ///< Calls at the replica up to which batch work may start.
    std::uint32_t free = 0;   ///< The bound less the calls that are there.
  };
  BatchCapacityReserve CapacityReserveFor(const ReplicaRecord& replica,
                                          const proto::RoutingConfiguration& configuration,
                                          TimePoint now) const;

 private:
  struct Candidate {
    const ReplicaRecord* replica = nullptr;
    std::uint32_t load = 0;   ///< Estimated calls at the replica, of all gateways.
    std::uint32_t limit = 0;  ///< Calls that may be there now.
    bool has_capacity = false;
    bool last_resort = false;
    std::uint32_t rank = 0;  ///< Lower is preferred; see `RankOf`.
  };

  std::vector<Candidate> Candidates(const RoutingQuery& query, TimePoint now,
                                    RoutingFailure* failure) const;
  Candidate MakeCandidate(const ReplicaRecord& replica, const RoutingQuery& query,
                          TimePoint now) const;
  std::uint32_t BatchSlotsAt(const ReplicaRecord& replica,
                             const proto::RoutingConfiguration& configuration, TimePoint now) const;
  /// Own zone, then own region, while not busy; then the same while busy; then all other zones.
  /// Suspected replicas rank last.
  std::uint32_t RankOf(const Candidate& candidate,
                       const proto::RoutingConfiguration& configuration) const;
  /// Capacity where loads are not reported: this gateway's quota of the bound, less its own calls.
  BatchCapacityReserve UnreportedBatchCapacity(const ReplicaRecord& replica,
                                               const proto::RoutingConfiguration& configuration,
                                               TimePoint now) const;
  /// @return the preferred replica of each zone for the query's key.
  std::vector<const ReplicaRecord*> PreferredReplicas(const RoutingQuery& query) const;
  /// @param home whether the candidate is the preferred replica for the query's key.
  Duration PrefillCost(const Candidate& candidate, const RoutingQuery& query, bool preferred,
                       TimePoint now) const;
  /// @return the candidate with the lowest cost.
  const Candidate* ChooseByPrefill(const std::vector<Candidate>& candidates,
                                   const RoutingQuery& query, TimePoint now) const;
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

#pragma once
/// @file
/// Chooses the replica for one call: ready, not draining, in an open zone that the route allows;
/// healthy; with room; nearest first; then by prefix affinity (rendezvous hashing with bounded
/// load), or least loaded. Pure: reads the directory, health and load, changes nothing.
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
  std::string zone;                  ///< The gateway's own.
  double affinity_bound = 1.25;      ///< Most load of the affine replica, in times of the average.
  std::uint32_t affinity_slack = 1;  ///< Calls above the bound that are always allowed.
  double busy_ratio = 0.8;  ///< Of its limit, from which on calls rather go to another zone.
  /// Whether replicas report their load. If not, room for batch work is an equal part for each
  /// gateway, and slow start is left to `SlowStart`.
  bool load_reported = true;
  /// What a call to another zone costs, in time that its prompt might take at home instead.
  Duration other_zone_cost = milliseconds(30);
  /// The same for each of this gateway's calls at a replica.
  Duration running_call_cost = std::chrono::microseconds(400);
  /// Part of what a replica was given to read lately that counts as a cost of its own.
  double recent_load_weight = 0.2;
  /// Where long prompts are expected they go to some replicas of a zone, which the others avoid.
  /// Each side's cost of leaving its place.
  Duration long_elsewhere_cost = milliseconds(80);
  Duration short_beside_long_cost = milliseconds(60);
  /// Prompts ahead of a batch item, above which it is not started there.
  Duration batch_backlog = milliseconds(10);
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
  /// @param cold, @param prefill may be nullptr. All referred to must outlive the router.
  Router(RouterOptions options, const ReplicaDirectory& directory, const ReplicaHealth& health,
         const LoadTable& loads, const SlowStart* warming_up = nullptr,
         const PrefillLoad* prefill = nullptr)
      : options_(std::move(options)),
        directory_(directory),
        health_(health),
        loads_(loads),
        warming_up_(warming_up),
        prefill_(prefill),
        share_{options_.zone} {}

  /// Which part of the room for batch work is this gateway's; only if loads are not reported.
  void SetQuota(GatewayQuota share) { share_ = std::move(share); }

  RoutingChoice Choose(const RoutingQuery& query, TimePoint now) const;

  /// Whether `replica` is where calls of that key go in its zone when nothing speaks against it.
  bool IsHome(const ReplicaRecord& replica, std::string_view prefix_key) const;

  /// @return how many further batch items may start on the replicas of a back end in open zones.
  std::uint32_t FreeBatchSlots(const proto::RoutingConfiguration& configuration,
                               const std::string& backend, TimePoint now) const;

  /// Room of one replica for batch work, as of its last report.
  struct BatchCapacityReserve {
    std::uint32_t bound = 0;  ///< Most calls there, for batch work to be started.
    std::uint32_t free = 0;   ///< What the bound leaves.
  };
  BatchCapacityReserve CapacityReserveFor(const ReplicaRecord& replica,
                                          const proto::RoutingConfiguration& configuration,
                                          TimePoint now) const;

 private:
  struct Candidate {
    const ReplicaRecord* replica = nullptr;
    std::uint32_t load = 0;   ///< Estimated calls there, of everyone.
    std::uint32_t limit = 0;  ///< Most calls there now.
    bool has_capacity = false;
    bool last_resort = false;
    std::uint32_t rank = 0;  ///< Lower is preferred; see `RankOf`.
  };

  std::vector<Candidate> Candidates(const RoutingQuery& query, TimePoint now,
                                    RoutingFailure* failure) const;
  Candidate Examine(const ReplicaRecord& replica, const RoutingQuery& query, TimePoint now) const;
  std::uint32_t BatchCapacity(const ReplicaRecord& replica,
                              const proto::RoutingConfiguration& configuration,
                              TimePoint now) const;
  /// Own zone, then own region, while they are not busy; then the same though they are; then
  /// everywhere else. Suspects come after all others.
  std::uint32_t RankOf(const Candidate& candidate,
                       const proto::RoutingConfiguration& configuration) const;
  /// Room that is known without reports: this gateway's part of the bound, less its own calls.
  BatchCapacityReserve UnreportedCapacityReserve(const ReplicaRecord& replica,
                                                 const proto::RoutingConfiguration& configuration,
                                                 TimePoint now) const;
  /// @return of each zone the replica where calls of the query's key go.
  std::vector<const ReplicaRecord*> Homes(const RoutingQuery& query) const;
  /// @param home whether the query's key belongs to the candidate.
  Duration PrefillCost(const Candidate& candidate, const RoutingQuery& query, bool home,
                       TimePoint now) const;
  /// @return the candidate whose first token would come soonest, all things told.
  const Candidate* ChooseByPrefill(const std::vector<Candidate>& candidates,
                                   const RoutingQuery& query, TimePoint now) const;
  const Candidate* ChooseAffine(const std::vector<Candidate>& candidates,
                                std::string_view prefix_key) const;

  RouterOptions options_;
  const ReplicaDirectory& directory_;
  const ReplicaHealth& health_;
  const LoadTable& loads_;
  const SlowStart* warming_up_;
  const PrefillLoad* prefill_;
  GatewayQuota share_;
};

}  // namespace cloverbank

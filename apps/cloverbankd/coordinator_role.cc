// The coordinator role: control state, replicated log and service.
#include "cloverbankd/role.h"
#include "consensus/raft_node.h"
#include "control_state/control_state.h"
#include "coordinator/coordinator_service.h"

namespace cloverbank {
namespace {

/// Number of heartbeats within one election timeout, so that the loss of one starts no election.
constexpr int kHeartbeatsPerElectionTimeout = 4;

/// @return the number of voters of which a majority remains after `failures` of them failed; 0 if
/// `failures` is 0.
std::size_t VotersToTolerate(std::size_t failures) { return failures == 0 ? 0 : 2 * failures + 1; }

RaftNodeOptions MakeRaftOptions(const RoleContext& context) {
  RaftNodeOptions options;
  options.seeds = context.settings.seeds;
  options.replace_unresponsive_after = context.settings.replace_unresponsive_after;
  options.wanted_voters = VotersToTolerate(context.settings.losses_borne);
  options.can_bootstrap = context.settings.form_group;
  options.election_timeout = context.settings.election_timeout;
  options.heartbeat_interval = context.settings.election_timeout / kHeartbeatsPerElectionTimeout;
  options.on_fatal = context.on_fatal;
  options.known_coordinators = [directory = context.coordinators] {
    return directory->ListCandidates();
  };
  return options;
}

CoordinatorOptions MakeCoordinatorOptions(const Settings& settings) {
  CoordinatorOptions options;
  options.node_lease = settings.node_lease;
  options.death_after = settings.death_after;
  options.minimum_store_backups = settings.replicas;
  options.arrival_quiet = settings.arrival_quiet;
  options.minimum_store_machines = settings.minimum_replicas;
  return options;
}

class CoordinatorRole final : public Role {
 public:
  explicit CoordinatorRole(const RoleContext& context)
      : state_(context.settings.partition_count),
        log_(context.environment, *context.data_folder, state_, MakeRaftOptions(context)),
        service_(context.environment, log_, state_, MakeCoordinatorOptions(context.settings)) {}

  std::string_view name() const override { return "coordinator"; }

  Status Start() override {
    Status loaded = log_.Load();
    if (loaded.ok()) {
      service_.Start();
      log_.Start();
    }
    return loaded;
  }

  std::optional<std::string> NotReadyReason() const override {
    if (log_.HasLeaderLease() || log_.leader_endpoint().valid()) {
      return std::nullopt;
    }
    return "no leader of the coordinator group is known";
  }

 private:
  ControlState state_;
  RaftNode log_;
  CoordinatorService service_;
};

}  // namespace

std::unique_ptr<Role> MakeCoordinatorRole(const RoleContext& context) {
  return std::make_unique<CoordinatorRole>(context);
}

}  // namespace cloverbank

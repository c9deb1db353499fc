#pragma once
/// @file
/// Coordinators with their consensus, and gateways, on links of a bounded rate, under an operator
/// who changes the configuration all the time.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "control_client/node_agent.h"
#include "control_state/control_state.h"
#include "coordinator/coordinator_service.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

struct ConfigurationWorldOptions {
  std::uint64_t seed = 1;
  std::size_t coordinators = 8;
  std::size_t seeds = 3;
  std::size_t losses_borne = 2;
  std::size_t gateways = 58;
  std::size_t routes = 150;
  std::size_t document_bytes = 40'000;
  Duration change_interval = milliseconds(300);
  /// After its acknowledgement a version must be held by every gateway.
  Duration in_force_within = milliseconds(2500);
  std::uint64_t link_bytes_per_second = 12'500'000;
};

/// One life of a coordinator.
struct CoordinatorProcess {
  CoordinatorProcess(Environment& environment, DataFolder& folder, const RaftNodeOptions& raft,
                     const CoordinatorOptions& options);
  ControlState state;
  RaftNode log;
  CoordinatorService service;
};

class ConfigurationWorld {
 public:
  explicit ConfigurationWorld(const ConfigurationWorldOptions& options);

  SimulatedWorld& world() { return world_; }
  /// Lets time pass, with changes and checks.
  void RunFor(Duration time);
  /// Until the group has all its voters, by a committed configuration, and took an order.
  bool RunUntilFormed(Duration limit);
  /// @return the name of the machine whose coordinator may answer now; empty if none.
  std::string Leader() const;
  /// @return machines whose coordinators vote by the leader's committed configuration.
  std::vector<std::string> Voters() const;
  const std::vector<std::string>& coordinators() const { return coordinators_; }
  /// The machine is gone for good; an empty one comes at another address.
  void Replace(const std::string& coordinator);
  std::vector<std::string> failures;
  std::uint64_t acknowledged = 0;  ///< Label.
  std::size_t acknowledgements = 0;
  Duration longest_wait{};  ///< From sending an order to its acknowledgement.

 private:
  struct Gateway {
    std::string name;
    NodeAgent* agent = nullptr;
  };

  void AddCoordinator(const std::string& host, bool can_bootstrap);
  void AddGateway(std::size_t number);
  CoordinatorProcess* FindCoordinator(const std::string& machine) const;
  void ScheduleChange();
  void SendOrder();
  void AttemptOrder(const std::string& order, std::uint64_t label, TimePoint begun);
  void TakeAcknowledgement(std::uint64_t label, TimePoint begun);
  void CheckInForce(std::uint64_t label);
  proto::ConfigurationTransaction MakeOrder(std::uint64_t label) const;

  const ConfigurationWorldOptions options_;
  std::vector<Endpoint> seeds_;
  std::vector<std::string> coordinators_;
  std::map<std::string, std::weak_ptr<CoordinatorProcess>> processes_;
  std::vector<Gateway> gateways_;
  std::uint64_t next_label_ = 1;
  int replacements_ = 0;
  bool ordering_ = false;
  SimulatedWorld world_;  ///< Last: its processes end first.
};

}  // namespace cloverbank

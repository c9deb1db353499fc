#pragma once
/// @file
/// Simulated coordinators with their Raft group, and gateways, on links of limited rate. A
/// simulated operator changes the configuration continuously.

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
  /// Time after the acknowledgement of a version within which every gateway that serves calls must
  /// hold this version or a later one.
  Duration in_force_within = milliseconds(2500);
  std::uint64_t link_bytes_per_second = 12'500'000;
};

/// One process run of a coordinator.
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
  /// Runs the simulation for `time`, with configuration changes and checks.
  void RunFor(Duration time);
  /// Runs until the committed Raft configuration has all voters and the coordinators have
  /// acknowledged a transaction.
  /// @return whether both were reached within `limit`.
  bool RunUntilFormed(Duration limit);
  /// @return the machine of the coordinator that is the ready leader with the highest term; empty
  /// if there is none.
  std::string Leader() const;
  /// @return the machines whose coordinators are voters in the leader's committed configuration;
  /// empty if there is no leader or its configuration is not committed.
  std::vector<std::string> Voters() const;
  const std::vector<std::string>& coordinators() const { return coordinators_; }
  /// Removes the machine for good and starts one with an empty disk at another address after 2 s.
  void Replace(const std::string& coordinator);
  std::vector<std::string> failures;  ///< Descriptions of failed checks.
  std::uint64_t acknowledged = 0;     ///< Label of the last acknowledged transaction.
  std::size_t acknowledgements = 0;
  Duration longest_wait{};  ///< From the first submission of a transaction to its acknowledgement.

 private:
  struct Gateway {
    std::string name;
    NodeAgent* agent = nullptr;
  };

  void AddCoordinator(const std::string& host, bool can_bootstrap);
  void AddGateway(std::size_t number);
  CoordinatorProcess* FindCoordinator(const std::string& machine) const;
  void ScheduleChange();
  void SubmitTransaction();
  /// Repeats the submission until a response arrives.
  void AttemptSubmission(const std::string& request, std::uint64_t label, TimePoint submitted_at);
  void RecordAcknowledgement(std::uint64_t label, TimePoint submitted_at);
  void CheckInForce(std::uint64_t label);
  proto::ConfigurationTransaction MakeTransaction(std::uint64_t label) const;

  const ConfigurationWorldOptions options_;
  std::vector<Endpoint> seeds_;
  std::vector<std::string> coordinators_;
  std::map<std::string, std::weak_ptr<CoordinatorProcess>> processes_;
  std::vector<Gateway> gateways_;
  std::uint64_t next_label_ = 1;
  int replacements_ = 0;
  bool submitting_ = false;
  /// Declared last so that its processes end before the other members are destroyed.
  SimulatedWorld world_;
};

}  // namespace cloverbank

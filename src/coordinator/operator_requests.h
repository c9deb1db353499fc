#pragma once
/// @file
/// Handles the requests of operators other than transactions: the configuration, the state of the
/// fleet and the retirement of store machines. Threads: the owner's event loop only.

#include <string>
#include <vector>

#include "coordinator/fleet_problems.h"
#include "coordinator/leader_reply.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/leader_controller.h"

namespace cloverbank {

class OperatorRequests {
 public:
  OperatorRequests(LeaderContext& context, CommandProposer& proposer,
                   const LeaderController& leader_controller)
      : context_(context), proposer_(proposer), leader_controller_(leader_controller) {}

  /// Starts or cancels the retirement of a store machine and replies with the node ids of its live
  /// queue nodes and backups. Errors: kNotFound if no store machine has that name; kConflict if too
  /// few store machines would remain; those of `AdmitOrder` if the request has a guard.
  void RetireServer(const proto::RetireServerRequest& request,
                    const Reply<proto::RetireServerResponse>& reply);
  /// Replies whether the machine is to be retired and has nothing left to move. Errors: kNotFound
  /// if no store machine has that name.
  void GetRetirement(const proto::GetRetirementRequest& request,
                     const Reply<proto::GetRetirementResponse>& reply);
  /// Replies with the full configuration, the requested number of history records and the version
  /// in force.
  void GetConfiguration(const proto::GetConfigurationRequest& request,
                        const Reply<proto::GetConfigurationResponse>& reply);
  /// Replies with the servers, partitions, log heads, recoveries and coordinators, and with a
  /// sentence for each problem of the fleet.
  void GetFleetStatus(const proto::GetFleetStatusRequest& request,
                      const Reply<proto::GetFleetStatusResponse>& reply);

 private:
  void FillFleet(proto::GetFleetStatusResponse* response) const;
  void FillCoordinators(const std::vector<LogMember>& members,
                        proto::GetFleetStatusResponse* response) const;
  FleetSnapshot MakeSnapshot(const std::vector<LogMember>& members) const;
  /// @return whether at least `minimum_store_machines` active store machines would remain without
  /// `machine`.
  bool HasEnoughStoresWithout(const std::string& machine) const;
  /// @return node ids of the live queue nodes and backups on `machine`.
  std::vector<NodeId> FindStoreNodes(const std::string& machine) const;

  LeaderContext& context_;
  CommandProposer& proposer_;
  const LeaderController& leader_controller_;
};

}  // namespace cloverbank

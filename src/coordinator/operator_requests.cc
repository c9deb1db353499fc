#include "coordinator/operator_requests.h"

#include <set>
#include <utility>

#include "control_state/proto_endpoint.h"
#include "coordinator/fleet_problems.h"
#include "coordinator/order_admission.h"
#include "coordinator/remaining_drain_work.h"
#include "coordinator/transaction_handler.h"

namespace cloverbank {

bool OperatorRequests::HasEnoughStoresWithout(const std::string& machine) const {
  std::set<std::string> remaining;
  for (const proto::Server* backup : context_.state.servers().FindLiveServers(proto::ROLE_BACKUP)) {
    if (IsActiveStoreBackup(*backup) && backup->machine() != machine) {
      remaining.insert(backup->machine());
    }
  }
  return remaining.size() >= context_.options.minimum_store_machines;
}

std::vector<NodeId> OperatorRequests::FindStoreNodes(const std::string& machine) const {
  std::vector<NodeId> nodes;
  for (const auto& [id, server] : context_.state.servers().servers()) {
    if (server.machine() == machine && IsLive(server) && server.role() != proto::ROLE_GATEWAY) {
      nodes.push_back(id);
    }
  }
  return nodes;
}

void OperatorRequests::RetireServer(const proto::RetireServerRequest& request,
                                    const Reply<proto::RetireServerResponse>& reply) {
  if (!context_.state.servers().HasStoreMachine(request.machine())) {
    reply(Status(StatusCode::kNotFound, "there is no store machine called \"" + request.machine() +
                                            "\"; see the fleet status for the names"));
    return;
  }
  if (!request.cancel() && !HasEnoughStoresWithout(request.machine())) {
    reply(Status(StatusCode::kConflict,
                 "fewer than " + std::to_string(context_.options.minimum_store_machines) +
                     " active store machines would remain without \"" + request.machine() +
                     "\"; add one before you retire it"));
    return;
  }
  if (request.has_guard()) {
    const Status admitted =
        AdmitOrder(context_, request.guard(), "retirement of " + request.machine(),
                   request.cancel() ? "cancel" : "start");
    if (!admitted.ok()) {
      reply(admitted);
      return;
    }
  }
  proto::ControlCommand command;
  command.mutable_retire_machine()->set_machine(request.machine());
  command.mutable_retire_machine()->set_cancel(request.cancel());
  ProposeAndAnswer<proto::RetireServerResponse>(
      proposer_, command, reply,
      [this, machine = request.machine()](const proto::ControlCommandResult&) {
        proto::RetireServerResponse response;
        for (const NodeId node : FindStoreNodes(machine)) {
          response.add_node_ids(node.value());
        }
        return response;
      });
}

void OperatorRequests::GetRetirement(const proto::GetRetirementRequest& request,
                                     const Reply<proto::GetRetirementResponse>& reply) {
  if (!context_.state.servers().HasStoreMachine(request.machine())) {
    reply(Status(StatusCode::kNotFound,
                 "there is no store machine called \"" + request.machine() + "\""));
    return;
  }
  proto::GetRetirementResponse response;
  response.set_ordered(context_.state.servers().retired_machines().contains(request.machine()));
  response.set_empty(
      response.ordered() &&
      ComputeRemainingDrainWork(context_.state, leader_controller_.sweeper(), request.machine())
          .IsDone());
  reply(std::move(response));
}

void OperatorRequests::GetConfiguration(const proto::GetConfigurationRequest& request,
                                        const Reply<proto::GetConfigurationResponse>& reply) {
  const ConfigurationStore& configuration = context_.state.configuration();
  proto::GetConfigurationResponse response;
  *response.mutable_configuration() = configuration.FullConfiguration();
  for (proto::HistoryRecord& record : configuration.History(request.history())) {
    *response.add_history() = std::move(record);
  }
  response.set_in_force_version(configuration.in_force_version().value());
  reply(std::move(response));
}

void OperatorRequests::GetFleetStatus(const proto::GetFleetStatusRequest& /*request*/,
                                      const Reply<proto::GetFleetStatusResponse>& reply) {
  proto::GetFleetStatusResponse response;
  FillFleet(&response);
  const std::vector<LogMember> members = context_.log.members();
  FillCoordinators(members, &response);
  for (std::string& problem : DescribeProblems(MakeSnapshot(members))) {
    response.add_problems(std::move(problem));
  }
  reply(std::move(response));
}

void OperatorRequests::FillCoordinators(const std::vector<LogMember>& members,
                                        proto::GetFleetStatusResponse* response) const {
  for (const LogMember& member : members) {
    proto::CoordinatorMember* entry = response->add_coordinators();
    entry->set_member_id(member.member_id);
    *entry->mutable_endpoint() = ToProto(member.endpoint);
    entry->set_learner(member.learner);
    entry->set_leader(member.endpoint == context_.log.leader_endpoint());
  }
}

FleetSnapshot OperatorRequests::MakeSnapshot(const std::vector<LogMember>& members) const {
  return {context_.state,
          context_.options,
          leader_controller_.recovery_manager(),
          leader_controller_.sweeper(),
          context_.loads,
          members,
          FindGatewaysBehind(context_.state, context_.leases, context_.environment.Now())};
}

void OperatorRequests::FillFleet(proto::GetFleetStatusResponse* response) const {
  for (const auto& [id, server] : context_.state.servers().servers()) {
    *response->add_servers() = server;
  }
  for (const auto& [id, partition] : context_.state.partitions().partitions()) {
    *response->add_partitions() = partition;
  }
  for (const auto& [node, heads] : context_.state.partitions().heads()) {
    *response->add_heads() = heads.current;
  }
  for (const auto& [dead, recovery] : context_.state.partitions().recoveries()) {
    proto::Recovery* entry = response->add_recoveries();
    *entry = recovery;
    entry->set_waiting_for(
        leader_controller_.recovery_manager().DescribePendingWork(context_.state, dead));
  }
  response->set_configuration_version(context_.state.configuration().version().value());
  response->set_in_force_version(context_.state.configuration().in_force_version().value());
}

}  // namespace cloverbank

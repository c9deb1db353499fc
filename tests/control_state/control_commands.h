#pragma once
/// @file
/// Builds control commands and applies them to a state machine in tests.

#include <string>
#include <vector>

#include "control_state/control_state.h"

namespace cloverbank {

/// A state machine with methods that apply one command each. Methods that return a status code
/// return that of the command's result.
class ControlDriver {
 public:
  explicit ControlDriver(std::uint32_t partitions = 4) : state(partitions) {
    proto::ControlCommand command;
    command.mutable_initialize()->set_partition_count(partitions);
    Apply(command);
  }

  proto::ControlCommandResult Apply(const proto::ControlCommand& command) {
    proto::ControlCommandResult result;
    result.ParseFromString(state.Apply(++index, command.SerializeAsString()));
    return result;
  }
  static StatusCode CodeOf(const proto::ControlCommandResult& result) {
    return static_cast<StatusCode>(result.error_code());
  }

  /// Registers an incarnation of `role` on `machine` and returns its node id. The disk is named
  /// after the machine, and so is the host of the endpoint unless `host` is given.
  NodeId Register(proto::Role role, const std::string& machine, std::uint64_t incarnation,
                  NodeId previous = {}, const std::string& host = "") {
    proto::ControlCommand command;
    proto::Server& server = *command.mutable_register_server()->mutable_server();
    server.set_role(role);
    server.set_machine(machine);
    server.set_incarnation(incarnation);
    server.mutable_peer_endpoint()->set_host(host.empty() ? machine : host);
    server.mutable_peer_endpoint()->set_port(7401);
    if (role == proto::ROLE_BACKUP) {
      server.set_disk_id("disk of " + machine);
    }
    command.mutable_register_server()->set_previous_node_id(previous.value());
    return NodeId(Apply(command).node_id());
  }
  void DeclareDead(NodeId node) {
    proto::ControlCommand command;
    command.mutable_declare_server_dead()->set_node_id(node.value());
    Apply(command);
  }
  StatusCode Assign(NodeId node, const std::vector<std::uint64_t>& partitions) {
    proto::ControlCommand command;
    command.mutable_assign_partitions()->set_queue_node_id(node.value());
    for (const std::uint64_t id : partitions) {
      command.mutable_assign_partitions()->add_partition_ids(id);
    }
    return CodeOf(Apply(command));
  }
  StatusCode CommitHead(NodeId node, std::uint64_t segment, std::uint64_t epoch,
                        const std::vector<NodeId>& backups) {
    proto::ControlCommand command;
    proto::LogHead& head = *command.mutable_commit_head()->mutable_head();
    head.set_node_id(node.value());
    head.set_segment_id(segment);
    head.set_epoch(epoch);
    for (const NodeId backup : backups) {
      head.add_backups(backup.value());
    }
    return CodeOf(Apply(command));
  }
  StatusCode StartReplay(NodeId dead, NodeId node, const std::vector<std::uint64_t>& partitions) {
    proto::ControlCommand command;
    command.mutable_start_replay()->set_dead_node_id(dead.value());
    proto::RecoveryAssignment& assignment = *command.mutable_start_replay()->add_assignments();
    assignment.set_queue_node_id(node.value());
    for (const std::uint64_t id : partitions) {
      assignment.add_partition_ids(id);
    }
    return CodeOf(Apply(command));
  }
  StatusCode FinishAssignment(NodeId dead, NodeId node,
                              const std::vector<std::uint64_t>& partitions) {
    proto::ControlCommand command;
    command.mutable_finish_assignment()->set_dead_node_id(dead.value());
    command.mutable_finish_assignment()->set_queue_node_id(node.value());
    for (const std::uint64_t id : partitions) {
      command.mutable_finish_assignment()->add_partition_ids(id);
    }
    return CodeOf(Apply(command));
  }
  StatusCode FinishRecovery(NodeId dead) {
    proto::ControlCommand command;
    command.mutable_finish_recovery()->set_dead_node_id(dead.value());
    return CodeOf(Apply(command));
  }
  proto::TransactionResult Submit(const proto::ConfigurationTransaction& transaction) {
    proto::ControlCommand command;
    *command.mutable_apply_transaction()->mutable_transaction() = transaction;
    command.mutable_apply_transaction()->set_wall_ms(1000);
    return Apply(command).transaction();
  }
  const proto::Partition& partition(std::uint64_t id) const {
    return state.partitions().partitions().at(PartitionId(id));
  }

  ControlState state;
  std::uint64_t index = 0;
};

inline proto::ConfigurationTransaction MakeTransaction(const std::string& operation_id,
                                                       std::uint64_t expected_version) {
  proto::ConfigurationTransaction transaction;
  transaction.set_operation_id(operation_id);
  transaction.set_expected_version(expected_version);
  return transaction;
}

inline void AddTenant(proto::ConfigurationTransaction* transaction, const std::string& name,
                      std::uint32_t weight = 1) {
  proto::Tenant& tenant = *transaction->add_changes()->mutable_set_tenant();
  tenant.set_name(name);
  tenant.set_batch_weight(weight);
}

inline void AddZone(proto::ConfigurationTransaction* transaction, const std::string& name,
                    proto::ZoneState state = proto::ZONE_STATE_OPEN) {
  proto::Zone& zone = *transaction->add_changes()->mutable_set_zone();
  zone.set_name(name);
  zone.set_state(state);
}

inline proto::Route* AddRoute(proto::ConfigurationTransaction* transaction,
                              const std::string& name) {
  proto::Route& route = *transaction->add_changes()->mutable_set_route();
  route.set_name(name);
  route.set_backend_kind(proto::BACKEND_KIND_MODEL);
  route.set_backend("model");
  route.set_deadline_ms(1000);
  return &route;
}

}  // namespace cloverbank

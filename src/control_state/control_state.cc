#include "control_state/control_state.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cloverbank {
namespace {

std::vector<PartitionId> ToPartitionIds(const google::protobuf::RepeatedField<std::uint64_t>& ids) {
  std::vector<PartitionId> partitions;
  partitions.reserve(static_cast<std::size_t>(ids.size()));
  for (const std::uint64_t id : ids) {
    partitions.emplace_back(id);
  }
  return partitions;
}

void SetStatus(const Status& status, proto::ControlCommandResult* result) {
  result->set_error_code(static_cast<std::uint32_t>(status.code()));
  result->set_error_message(status.message());
}

}  // namespace

ControlState::ControlState(std::uint32_t partition_count)
    : initial_partition_count_(partition_count) {}

std::string ControlState::Apply(std::uint64_t /*index*/, const std::string& bytes) {
  proto::ControlCommand command;
  proto::ControlCommandResult result;
  if (command.ParseFromString(bytes)) {
    result = ApplyCommand(command);
    servers_.PruneDead(partitions_.FindReferencedServers());
    RecordFleetChanges();
  } else {
    SetStatus({StatusCode::kCorrupt,
               "malformed control command of " + std::to_string(bytes.size()) + " bytes"},
              &result);
  }
  return result.SerializeAsString();
}

proto::ControlCommandResult ControlState::ApplyCommand(const proto::ControlCommand& command) {
  proto::ControlCommandResult result;
  if (command.has_register_server()) {
    ApplyRegister(command.register_server(), &result);
  } else if (command.has_apply_transaction()) {
    *result.mutable_transaction() = configuration_.Apply(command.apply_transaction().transaction(),
                                                         command.apply_transaction().wall_ms());
  } else {
    SetStatus(ApplyWithStatus(command), &result);
  }
  return result;
}

Status ControlState::ApplyWithStatus(const proto::ControlCommand& command) {
  switch (command.command_case()) {
    case proto::ControlCommand::kDeclareServerDead:
      return DeclareDead(NodeId(command.declare_server_dead().node_id()));
    case proto::ControlCommand::kRetireMachine:
      servers_.RetireMachine(command.retire_machine().machine(), command.retire_machine().cancel());
      return Status::Ok();
    case proto::ControlCommand::kRecordInForce:
      return configuration_.RecordInForce(ConfigurationVersion(command.record_in_force().version()),
                                          command.record_in_force().wall_ms());
    case proto::ControlCommand::kCommitHead:
      return CommitHead(command.commit_head().head());
    case proto::ControlCommand::kAssignPartitions:
      return Assign(command.assign_partitions());
    case proto::ControlCommand::kStartReplay:
      return StartReplay(command.start_replay());
    case proto::ControlCommand::kFinishAssignment:
      return FinishAssignment(command.finish_assignment());
    case proto::ControlCommand::kFinishRecovery:
      return partitions_.FinishRecovery(NodeId(command.finish_recovery().dead_node_id()));
    case proto::ControlCommand::kInitialize:
      partitions_.Initialize(command.initialize().partition_count());
      return Status::Ok();
    default:
      return {StatusCode::kInvalidArgument, "the control command is empty or of an unknown kind"};
  }
}

void ControlState::ApplyRegister(const proto::RegisterServerCommand& command,
                                 proto::ControlCommandResult* result) {
  if (command.server().role() == proto::ROLE_UNSPECIFIED) {
    SetStatus({StatusCode::kInvalidArgument,
               "machine \"" + command.server().machine() +
                   "\" registers a server without a role; use gateway, queue node or backup"},
              result);
    return;
  }
  const ServerRegistry::Registration registration =
      servers_.Register(command.server(), NodeId(command.previous_node_id()));
  for (const NodeId superseded : registration.superseded) {
    SetStatus(DeclareDead(superseded), result);
  }
  result->set_node_id(registration.node_id.value());
}

Status ControlState::DeclareDead(NodeId node) {
  const bool queue_node = servers_.FindLive(node, proto::ROLE_QUEUE) != nullptr;
  if (servers_.DeclareDead(node) && queue_node) {
    partitions_.OnQueueNodeDead(node);
  }
  return Status::Ok();
}

Status ControlState::RequireLiveQueueNode(NodeId node) const {
  if (servers_.FindLive(node, proto::ROLE_QUEUE) == nullptr) {
    return {StatusCode::kFenced, "node " + node.ToString() + " is not a live queue node"};
  }
  return Status::Ok();
}

Status ControlState::CommitHead(const proto::LogHead& head) {
  const Status live = RequireLiveQueueNode(NodeId(head.node_id()));
  return live.ok() ? partitions_.CommitHead(head, servers_) : live;
}

Status ControlState::Assign(const proto::AssignPartitionsCommand& command) {
  const NodeId node(command.queue_node_id());
  const Status live = RequireLiveQueueNode(node);
  return live.ok() ? partitions_.Assign(node, ToPartitionIds(command.partition_ids())) : live;
}

Status ControlState::StartReplay(const proto::StartReplayCommand& command) {
  const std::vector<proto::RecoveryAssignment> assignments(command.assignments().begin(),
                                                           command.assignments().end());
  for (const proto::RecoveryAssignment& assignment : assignments) {
    if (Status live = RequireLiveQueueNode(NodeId(assignment.queue_node_id())); !live.ok()) {
      return live;
    }
  }
  return partitions_.StartReplay(NodeId(command.dead_node_id()), assignments);
}

Status ControlState::FinishAssignment(const proto::FinishAssignmentCommand& command) {
  const NodeId node(command.queue_node_id());
  if (Status live = RequireLiveQueueNode(node); !live.ok()) {
    return live;
  }
  return partitions_.FinishAssignment(NodeId(command.dead_node_id()), node,
                                      ToPartitionIds(command.partition_ids()));
}

void ControlState::RecordFleetChanges() {
  const std::set<NodeId> servers = servers_.TakeChanged();
  const std::set<PartitionId> partitions = partitions_.TakeChanged();
  if (servers.empty() && partitions.empty()) {
    return;
  }
  fleet_version_ = fleet_version_.Next();
  for (const NodeId node : servers) {
    server_change_versions_[node] = fleet_version_;
  }
  for (const PartitionId partition : partitions) {
    partition_change_versions_[partition] = fleet_version_;
  }
  ForgetPrunedServers();
}

void ControlState::ForgetPrunedServers() {
  for (auto entry = server_change_versions_.begin(); entry != server_change_versions_.end();) {
    if (servers_.Find(entry->first) != nullptr) {
      ++entry;
      continue;
    }
    // A delta can no longer report this server's death, so nodes that do not know of it need full
    // lists.
    oldest_delta_base_ = std::max(oldest_delta_base_, entry->second);
    entry = server_change_versions_.erase(entry);
  }
}

proto::FleetUpdate ControlState::FleetUpdateFrom(FleetVersion known) const {
  const bool delta = known >= oldest_delta_base_ && known <= fleet_version_;
  proto::FleetUpdate update;
  update.set_from_version(delta ? known.value() : 0);
  update.set_to_version(fleet_version_.value());
  if (delta) {
    AddChangesSince(known, &update);
  } else {
    AddFullFleet(&update);
  }
  return update;
}

void ControlState::AddFullFleet(proto::FleetUpdate* update) const {
  for (const auto& [id, server] : servers_.servers()) {
    if (IsLive(server) && server.role() != proto::ROLE_GATEWAY) {
      *update->add_servers() = server;
    }
  }
  for (const auto& [id, partition] : partitions_.partitions()) {
    *update->add_partitions() = partition;
  }
}

void ControlState::AddChangesSince(FleetVersion known, proto::FleetUpdate* update) const {
  for (const auto& [id, version] : server_change_versions_) {
    if (version > known) {
      *update->add_servers() = *servers_.Find(id);
    }
  }
  for (const auto& [id, version] : partition_change_versions_) {
    if (version > known) {
      *update->add_partitions() = partitions_.partitions().at(id);
    }
  }
}

std::string ControlState::TakeSnapshot() const {
  proto::ControlStateSnapshot snapshot;
  snapshot.set_fleet_version(fleet_version_.value());
  servers_.Save(&snapshot);
  partitions_.Save(&snapshot);
  configuration_.Save(&snapshot);
  return snapshot.SerializeAsString();
}

Status ControlState::RestoreSnapshot(const std::string& bytes) {
  proto::ControlStateSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return {StatusCode::kCorrupt, "the control state snapshot of " + std::to_string(bytes.size()) +
                                      " bytes cannot be parsed"};
  }
  servers_.Load(snapshot);
  partitions_.Load(snapshot);
  configuration_.Load(snapshot);
  fleet_version_ = FleetVersion(snapshot.fleet_version());
  oldest_delta_base_ = fleet_version_;
  server_change_versions_.clear();
  partition_change_versions_.clear();
  return Status::Ok();
}

}  // namespace cloverbank

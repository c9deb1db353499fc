#pragma once
/// @file
/// The replicated state machine: servers, partitions, log heads, recoveries, routing configuration,
/// operation records and history. Deterministic: members that apply the same commands have the same
/// state (docs/DESIGN.md section 4).
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "consensus/replicated_log.h"
#include "control_state/configuration_store.h"
#include "control_state/partition_table.h"
#include "control_state/server_registry.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class ControlState : public StateMachine {
 public:
  /// @param partition_count proposed by the first leader of a new group. From then on the
  /// replicated count holds (`partitions().partition_count()`).
  explicit ControlState(std::uint32_t partition_count);

  /// Applies a serialized `proto::ControlCommand`. @return a serialized `ControlCommandResult`.
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;
  Status RestoreSnapshot(const std::string& snapshot) override;

  std::uint32_t initial_partition_count() const { return initial_partition_count_; }
  const ServerRegistry& servers() const { return servers_; }
  const PartitionTable& partitions() const { return partitions_; }
  const ConfigurationStore& configuration() const { return configuration_; }

  FleetVersion fleet_version() const { return fleet_version_; }
  /// @return the queue nodes, backups (dead ones too) and partitions that changed since `known`; or
  /// all live ones and all partitions if `known` is too old for a delta.
  proto::FleetUpdate FleetUpdateFrom(FleetVersion known) const;

 private:
  proto::ControlCommandResult ApplyCommand(const proto::ControlCommand& command);
  /// Applies a command whose result is only a status.
  Status ApplyWithStatus(const proto::ControlCommand& command);
  void ApplyRegister(const proto::RegisterServerCommand& command,
                     proto::ControlCommandResult* result);
  Status DeclareDead(NodeId node);
  /// @return kFenced unless `node` is a live queue node.
  Status RequireLiveQueueNode(NodeId node) const;
  Status CommitHead(const proto::LogHead& head);
  Status Assign(const proto::AssignPartitionsCommand& command);
  Status StartReplay(const proto::StartReplayCommand& command);
  Status FinishAssignment(const proto::FinishAssignmentCommand& command);
  /// Increments the fleet version if the command changed what nodes see, and records it for what
  /// changed.
  void RecordFleetChanges();
  void ForgetPrunedServers();
  void AddFullFleet(proto::FleetUpdate* update) const;
  void AddChangesSince(FleetVersion known, proto::FleetUpdate* update) const;

  std::uint32_t initial_partition_count_;
  ServerRegistry servers_;
  PartitionTable partitions_;
  ConfigurationStore configuration_;
  FleetVersion fleet_version_{1};

  // For deltas. Not replicated: after a restore, nodes behind the snapshot receive full lists.
  FleetVersion oldest_delta_base_{1};
  std::map<NodeId, FleetVersion> server_change_versions_;
  std::map<PartitionId, FleetVersion> partition_change_versions_;
};

}  // namespace cloverbank

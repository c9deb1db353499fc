#pragma once
/// @file
/// The replicated state machine of the coordinators: servers, partitions, log heads, recoveries,
/// routing configuration, operation records and history. Deterministic: members that have applied
/// the same commands have the same state (docs/DESIGN.md section 4).
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
  /// @param partition_count number of partitions that the first leader of a new group proposes.
  /// From then on the replicated count is used (`partitions().partition_count()`).
  explicit ControlState(std::uint32_t partition_count);

  /// Applies a serialized `proto::ControlCommand`.
  /// @return a serialized `proto::ControlCommandResult`; its error code is kCorrupt if `command`
  /// cannot be parsed.
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;
  Status RestoreSnapshot(const std::string& snapshot) override;

  std::uint32_t initial_partition_count() const { return initial_partition_count_; }
  const ServerRegistry& servers() const { return servers_; }
  const PartitionTable& partitions() const { return partitions_; }
  const ConfigurationStore& configuration() const { return configuration_; }

  FleetVersion fleet_version() const { return fleet_version_; }
  /// @return the queue nodes and backups, dead ones included, and the partitions that changed since
  /// `known`; or all live queue nodes and backups and all partitions if `known` is too old for a
  /// delta.
  proto::FleetUpdate FleetUpdateFrom(FleetVersion known) const;

 private:
  proto::ControlCommandResult ApplyCommand(const proto::ControlCommand& command);
  /// Applies a command whose result is only a status.
  Status ApplyWithStatus(const proto::ControlCommand& command);
  /// Registers the server and declares the incarnations dead that it supersedes. Sets the node id,
  /// or kInvalidArgument for a server without a role.
  void ApplyRegister(const proto::RegisterServerCommand& command,
                     proto::ControlCommandResult* result);
  /// Marks the node dead, if it is live, and starts the recovery of a queue node's partitions.
  Status DeclareDead(NodeId node);
  /// @return kFenced unless `node` is a live queue node.
  Status RequireLiveQueueNode(NodeId node) const;
  Status CommitHead(const proto::LogHead& head);
  Status Assign(const proto::AssignPartitionsCommand& command);
  Status StartReplay(const proto::StartReplayCommand& command);
  Status FinishAssignment(const proto::FinishAssignmentCommand& command);
  /// Increments the fleet version if the command changed servers or partitions that nodes see, and
  /// records the new version as that of their last change.
  void RecordFleetChanges();
  /// Drops the recorded changes of servers that the registry no longer has.
  void ForgetPrunedServers();
  void AddFullFleet(proto::FleetUpdate* update) const;
  void AddChangesSince(FleetVersion known, proto::FleetUpdate* update) const;

  std::uint32_t initial_partition_count_;
  ServerRegistry servers_;
  PartitionTable partitions_;
  ConfigurationStore configuration_;
  FleetVersion fleet_version_{1};

  // For deltas: the oldest version from which a delta can be made, and the fleet version of the
  // last change of each server and partition. Not in snapshots: after a restore, nodes behind the
  // snapshot receive full lists.
  FleetVersion oldest_delta_base_{1};
  std::map<NodeId, FleetVersion> server_change_versions_;
  std::map<PartitionId, FleetVersion> partition_change_versions_;
};

}  // namespace cloverbank

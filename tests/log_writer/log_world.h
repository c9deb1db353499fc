#pragma once
/// @file
/// A simulated world with real backups, real node agents and a fake coordinator, and a reader that
/// recovers a queue node's log as the coordinators do.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backup/backup_service.h"
#include "control_client/node_agent.h"
#include "queue/fake_coordinator.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

/// A backup process: its service and its agent.
struct BackupProcess {
  std::unique_ptr<BackupService> service;
  std::unique_ptr<NodeAgent> agent;
};

class LogWorld {
 public:
  explicit LogWorld(std::uint64_t seed) : world(seed) {
    world.AddMachine("control", "10.0.0.1")
        .SetProgram([this](Environment& environment, DataFolder&) {
          return std::make_shared<FakeCoordinator>(environment, coordinator);
        });
    world.machine("control").Start();
  }

  void AddBackup(const std::string& name, const std::string& zone, bool spare = false) {
    backups.push_back(name);
    const std::string host = "10.0.1." + std::to_string(backups.size());
    world.AddMachine(name, host)
        .SetProgram([this, name, zone, spare](Environment& environment, DataFolder& folder) {
          auto process = std::make_shared<BackupProcess>();
          process->service = std::make_unique<BackupService>(environment, folder, BackupOptions());
          Status loaded = process->service->Load();
          if (!loaded.ok()) {
            throw std::runtime_error(loaded.ToString());
          }
          NodeAgentOptions options = AgentOptions(name, zone, proto::ROLE_BACKUP);
          options.spare = spare;
          options.disk_id = process->service->disk_id();
          process->agent = std::make_unique<NodeAgent>(environment, options);
          process->agent->Start();
          return process;
        });
    world.machine(name).Start();
  }

  NodeAgentOptions AgentOptions(const std::string& name, const std::string& zone,
                                proto::Role role) const {
    NodeAgentOptions options;
    options.role = role;
    options.machine = name;
    options.zone = zone;
    options.coordinators = {Endpoint{"10.0.0.1", 7401}};
    return options;
  }

  /// Calls `method` of `machine` and runs the world until the response has arrived, or for 1 s more
  /// than `deadline` at most.
  template <typename Response, typename Request>
  Result<Response> Call(const std::string& machine, std::string_view method, const Request& request,
                        Duration deadline = seconds(10)) {
    auto answer = std::make_shared<std::optional<Result<Response>>>();
    world.CallPeer(world.machine(machine).endpoint(), method, request.SerializeAsString(), deadline,
                   [answer](const PeerReply& reply) {
                     Response response;
                     if (reply.status.ok() && response.ParseFromString(reply.body)) {
                       answer->emplace(response);
                     } else {
                       answer->emplace(reply.status);
                     }
                   });
    world.RunUntil([&] { return answer->has_value(); }, deadline + seconds(1));
    return answer->value_or(
        Status(StatusCode::kInternal, std::string(method) + " was never answered"));
  }

  /// Fences `node` at every running backup and assembles its log from the longest current replicas.
  /// @return the segments with the endpoints of their replicas, or an error that names the missing
  /// segment.
  Result<std::vector<proto::RecoverySegment>> Collect(std::uint64_t node) {
    const std::map<std::uint64_t, std::vector<FoundReplica>> found = StartReading(node);
    const proto::LogHead& head = coordinator.heads[node];
    const std::vector<FoundReplica> head_replicas = LongestReplicas(found, head, head.segment_id());
    if (head_replicas.empty()) {
      return MissingSegment(head.segment_id());
    }
    std::vector<proto::RecoverySegment> segments;
    for (const std::uint64_t id : head_replicas[0].stored.digest()) {
      const std::vector<FoundReplica> longest = LongestReplicas(found, head, id);
      if (longest.empty()) {
        return MissingSegment(id);
      }
      segments.push_back(ToRecoverySegment(id, longest));
    }
    return segments;
  }

  /// @return all entries of `partition` in the log of `node`, in log order.
  Result<std::vector<proto::LogEntry>> Recover(std::uint64_t node, std::uint64_t partition) {
    const auto segments = Collect(node);
    if (!segments.ok()) {
      return segments.status();
    }
    std::vector<proto::LogEntry> entries;
    for (const proto::RecoverySegment& segment : *segments) {
      proto::GetRecoveryDataRequest request;
      request.set_dead_node_id(node);
      request.set_segment_id(segment.segment_id());
      request.add_partition_ids(partition);
      Result<proto::GetRecoveryDataResponse> data(
          Status(StatusCode::kNotFound, "segment has no replica"));
      for (int i = 0; i < segment.backups_size() && !data.ok(); ++i) {
        data = Call<proto::GetRecoveryDataResponse>(BackupAt(segment.backups(i).host()),
                                                    "backup.GetRecoveryData", request);
      }
      if (!data.ok()) {
        return data.status();
      }
      entries.insert(entries.end(), data->entries().begin(), data->entries().end());
    }
    return entries;
  }

  /// @return the name of the backup with `host`; empty if there is none.
  std::string BackupAt(const std::string& host) {
    for (const std::string& backup : backups) {
      if (world.machine(backup).endpoint().host == host) {
        return backup;
      }
    }
    return "";
  }

  FakeCoordinatorState coordinator;
  std::vector<std::string> backups;
  SimulatedWorld world;

 private:
  struct FoundReplica {
    std::string backup;
    proto::StoredSegment stored;
  };

  static Status MissingSegment(std::uint64_t id) {
    return {StatusCode::kUnavailable, "segment " + std::to_string(id) + " is missing"};
  }

  /// Sends StartReadingData, which fences `node`, to all backups.
  /// @return the replicas that running backups offer, by segment id.
  std::map<std::uint64_t, std::vector<FoundReplica>> StartReading(std::uint64_t node) {
    std::map<std::uint64_t, std::vector<FoundReplica>> replicas;
    for (const std::string& backup : backups) {
      proto::StartReadingDataRequest request;
      request.set_dead_node_id(node);
      const auto found =
          Call<proto::StartReadingDataResponse>(backup, "backup.StartReadingData", request);
      if (!found.ok()) {
        continue;
      }
      for (const proto::StoredSegment& stored : found->segments()) {
        replicas[stored.segment_id()].push_back({backup, stored});
      }
    }
    return replicas;
  }

  /// @return the longest valid replicas of segment `id`. A replica of the head is valid if it has
  /// the epoch of `head` or a later one, a replica of another segment if it is closed.
  static std::vector<FoundReplica> LongestReplicas(
      const std::map<std::uint64_t, std::vector<FoundReplica>>& found, const proto::LogHead& head,
      std::uint64_t id) {
    std::vector<FoundReplica> longest;
    const auto replicas = found.find(id);
    if (replicas == found.end()) {
      return longest;
    }
    for (const FoundReplica& replica : replicas->second) {
      const proto::StoredSegment& stored = replica.stored;
      const bool valid = id == head.segment_id() ? stored.epoch() >= head.epoch() : stored.closed();
      if (!valid || (!longest.empty() && stored.length() < longest[0].stored.length())) {
        continue;
      }
      if (!longest.empty() && stored.length() > longest[0].stored.length()) {
        longest.clear();
      }
      longest.push_back(replica);
    }
    return longest;
  }

  proto::RecoverySegment ToRecoverySegment(std::uint64_t id,
                                           const std::vector<FoundReplica>& replicas) {
    proto::RecoverySegment segment;
    segment.set_segment_id(id);
    for (const FoundReplica& replica : replicas) {
      const Endpoint& endpoint = world.machine(replica.backup).endpoint();
      proto::Endpoint* listed = segment.add_backups();
      listed->set_host(endpoint.host);
      listed->set_port(endpoint.port);
    }
    return segment;
  }
};

}  // namespace cloverbank

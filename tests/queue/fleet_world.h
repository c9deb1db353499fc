#pragma once
/// @file
/// A complete batch fleet of real services in a simulated world: three front machines (each with a
/// coordinator and a spare backup) and three store machines (each with a queue node and a backup).
/// Each of three zones has one machine of either kind.

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "backup/backup_service.h"
#include "consensus/raft_node.h"
#include "control_client/node_agent.h"
#include "coordinator/coordinator_service.h"
#include "queue/queue_service.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

class FleetWorld {
 public:
  static constexpr int kMachinesPerKind = 3;
  static constexpr std::uint32_t kPartitions = 4;

  explicit FleetWorld(std::uint64_t seed) : world(seed) {
    for (int i = 1; i <= kMachinesPerKind; ++i) {
      front_machines.push_back("f" + std::to_string(i));
      store_machines.push_back("s" + std::to_string(i));
      coordinator_endpoints_.push_back(
          world.AddMachine(front_machines.back(), "10.0.1." + std::to_string(i)).endpoint());
      world.AddMachine(store_machines.back(), "10.0.2." + std::to_string(i));
    }
    for (int i = 0; i < kMachinesPerKind; ++i) {
      const std::string zone = "zone" + std::to_string(i);
      AddFrontMachine(front_machines[i], zone);
      AddStoreMachine(store_machines[i], zone);
    }
    queue_options.log.segment_bytes = 64 << 10;
    queue_options.log.write_bytes = 16 << 10;
  }

  /// Starts the machines that are not running.
  void StartAll() {
    for (const std::vector<std::string>* machines : {&front_machines, &store_machines}) {
      for (const std::string& name : *machines) {
        if (!world.machine(name).running()) {
          world.machine(name).Start();
        }
      }
    }
  }

  /// Whether every store machine but `except` runs and its log has all configured replicas.
  bool AllLogsFullyReplicated(const std::string& except = "") {
    for (const std::string& name : store_machines) {
      if (name == except) {
        continue;
      }
      if (!world.machine(name).running() || queue_services_[name].expired() ||
          queue_services_[name].lock()->degraded()) {
        return false;
      }
    }
    return true;
  }

  /// Calls a peer method of a machine from outside the fleet's machines, as a gateway does.
  template <typename Response, typename Request>
  void Call(const std::string& machine, std::string_view method, const Request& request,
            Duration deadline, std::function<void(Result<Response>)> done) {
    world.CallPeer(world.machine(machine).endpoint(), method, request.SerializeAsString(), deadline,
                   [done = std::move(done)](const PeerReply& reply) {
                     Response response;
                     if (!reply.status.ok() || !response.ParseFromString(reply.body)) {
                       done(reply.status);
                     } else {
                       done(std::move(response));
                     }
                   });
  }
  const std::string& RandomStoreMachine() {
    return store_machines[world.RandomBelow(store_machines.size())];
  }

  SimulatedWorld world;
  std::vector<std::string> front_machines;
  std::vector<std::string> store_machines;
  QueueOptions queue_options;

 private:
  struct FrontProcess {
    ControlState state{kPartitions};
    std::unique_ptr<RaftNode> raft;
    std::unique_ptr<CoordinatorService> coordinator;
    std::unique_ptr<BackupService> backup;
    std::unique_ptr<NodeAgent> backup_agent;
  };
  struct StoreProcess {
    std::unique_ptr<BackupService> backup;
    std::unique_ptr<NodeAgent> backup_agent;
    std::unique_ptr<NodeAgent> queue_agent;
    std::shared_ptr<QueueService> queue;
  };

  static void ThrowIfFailed(const Status& status) {
    if (!status.ok()) {
      throw std::runtime_error(status.ToString());
    }
  }

  NodeAgentOptions AgentOptions(const std::string& name, const std::string& zone,
                                proto::Role role) const {
    NodeAgentOptions options;
    options.role = role;
    options.machine = name;
    options.zone = zone;
    options.coordinators = coordinator_endpoints_;
    return options;
  }

  std::unique_ptr<BackupService> LoadBackup(Environment& environment, DataFolder& folder) const {
    BackupOptions options;
    options.store.spare_disk_bytes = 1 << 20;
    auto backup = std::make_unique<BackupService>(environment, folder, options);
    ThrowIfFailed(backup->Load());
    return backup;
  }

  void AddFrontMachine(const std::string& name, const std::string& zone) {
    world.machine(name).SetProgram(
        [this, name, zone](Environment& environment, DataFolder& folder) {
          auto front = std::make_shared<FrontProcess>();
          RaftNodeOptions raft_options;
          raft_options.seeds = coordinator_endpoints_;
          front->raft = std::make_unique<RaftNode>(environment, folder, front->state, raft_options);
          ThrowIfFailed(front->raft->Load());
          front->coordinator =
              std::make_unique<CoordinatorService>(environment, *front->raft, front->state);
          front->coordinator->Start();
          front->raft->Start();
          front->backup = LoadBackup(environment, folder);
          NodeAgentOptions options = AgentOptions(name, zone, proto::ROLE_BACKUP);
          options.spare = true;
          options.disk_id = front->backup->disk_id();
          front->backup_agent = std::make_unique<NodeAgent>(environment, options);
          front->backup_agent->Start();
          return front;
        });
  }

  void AddStoreMachine(const std::string& name, const std::string& zone) {
    world.machine(name).SetProgram(
        [this, name, zone](Environment& environment, DataFolder& folder) {
          auto store = std::make_shared<StoreProcess>();
          store->backup = LoadBackup(environment, folder);
          NodeAgentOptions options = AgentOptions(name, zone, proto::ROLE_BACKUP);
          options.disk_id = store->backup->disk_id();
          store->backup_agent = std::make_unique<NodeAgent>(environment, options);
          store->backup_agent->Start();
          store->queue_agent =
              std::make_unique<NodeAgent>(environment, AgentOptions(name, zone, proto::ROLE_QUEUE));
          store->queue =
              std::make_shared<QueueService>(environment, *store->queue_agent, queue_options);
          store->queue->Start();
          store->queue_agent->Start();
          queue_services_[name] = store->queue;
          return store;
        });
  }

  std::vector<Endpoint> coordinator_endpoints_;
  std::map<std::string, std::weak_ptr<QueueService>> queue_services_;
};

}  // namespace cloverbank

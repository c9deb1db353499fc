#include "coordinator/fleet_problems.h"

#include <algorithm>
#include <compare>
#include <set>
#include <utility>

#include "coordinator/remaining_drain_work.h"

namespace cloverbank {
namespace {

/// A backup with less free disk than this is reported as nearly full.
constexpr std::uint64_t kNearlyFullBytes = 64ULL << 20U;

std::string DescribeServer(const proto::Server& server) {
  return server.machine() + " (node " + std::to_string(server.node_id()) + ")";
}

std::string RoleName(proto::Role role) {
  return role == proto::ROLE_QUEUE ? "queue node" : "backup";
}

/// Identifies a server across its restarts, as operators see it.
struct MachineRole {
  std::string machine;
  proto::Role role = proto::ROLE_UNSPECIFIED;
  // NOLINTNEXTLINE(modernize-use-nullptr): as in base/ids.h.
  auto operator<=>(const MachineRole&) const = default;
};

/// Collects the problems of one snapshot.
class ProblemList {
 public:
  explicit ProblemList(const FleetSnapshot& snapshot) : snapshot_(snapshot) {}

  std::vector<std::string> Build() {
    DescribeCoordinators();
    DescribeLostServers();
    DescribeBackups();
    DescribeQueueNodes();
    DescribePartitions();
    DescribeRecoveries();
    DescribeRetirements();
    DescribeConfiguration();
    return std::move(problems_);
  }

 private:
  void DescribeCoordinators();
  void DescribeLostServers();
  void DescribeBackups();
  void DescribeFreeDisk(const proto::Server& backup);
  void DescribeQueueNodes();
  void DescribePartitions();
  void DescribeRecoveries();
  void DescribeRetirements();
  void DescribeRetirement(const std::string& machine);
  void DescribeConfiguration();
  void Add(std::string problem) { problems_.push_back(std::move(problem)); }
  /// @return what the server reported with its last heartbeat to this leader, or nullptr.
  const NodeLoad* FindLoad(const proto::Server& server) const;

  const FleetSnapshot& snapshot_;
  std::vector<std::string> problems_;
};

void ProblemList::DescribeCoordinators() {
  const auto voters = static_cast<std::uint32_t>(
      std::count_if(snapshot_.members.begin(), snapshot_.members.end(),
                    [](const LogMember& member) { return !member.learner; }));
  if (voters < snapshot_.options.minimum_coordinators) {
    Add("the coordinator group has " + std::to_string(voters) + " of " +
        std::to_string(snapshot_.options.minimum_coordinators) +
        " voting members; start the missing ones");
  }
  for (const LogMember& member : snapshot_.members) {
    if (member.learner) {
      Add("coordinator " + member.endpoint.ToString() +
          " is catching up and does not count for the majority yet; wait");
    }
  }
}

void ProblemList::DescribeLostServers() {
  const ServerRegistry& servers = snapshot_.state.servers();
  std::set<MachineRole> live;
  std::map<MachineRole, const proto::Server*> lost;
  for (const auto& [id, server] : servers.servers()) {
    const MachineRole key{server.machine(), server.role()};
    if (IsLive(server)) {
      live.insert(key);
    } else {
      lost[key] = &server;
    }
  }
  for (const auto& [key, server] : lost) {
    if (!live.contains(key) && !servers.retired_machines().contains(key.machine)) {
      Add("the " + RoleName(key.role) + " on " + DescribeServer(*server) +
          " was declared dead; restart the machine, replace it, or retire it for good");
    }
  }
}

void ProblemList::DescribeBackups() {
  std::uint32_t active_backups = 0;
  for (const proto::Server* backup :
       snapshot_.state.servers().FindLiveServers(proto::ROLE_BACKUP)) {
    active_backups += IsActiveStoreBackup(*backup) ? 1 : 0;
    DescribeFreeDisk(*backup);
  }
  if (active_backups < snapshot_.options.minimum_store_backups) {
    Add("only " + std::to_string(active_backups) + " of " +
        std::to_string(snapshot_.options.minimum_store_backups) +
        " store backups are up: spare backups take the missing copies, or new batches have fewer "
        "copies; start or add a store machine");
  }
}

void ProblemList::DescribeFreeDisk(const proto::Server& backup) {
  const NodeLoad* load = FindLoad(backup);
  // A backup that has not measured its disk yet reports 0.
  if (load != nullptr && load->free_bytes != 0 && load->free_bytes < kNearlyFullBytes) {
    Add("the backup on " + DescribeServer(backup) + " has only " +
        std::to_string(load->free_bytes >> 20U) + " MiB of disk left; free or add disk");
  }
}

void ProblemList::DescribeQueueNodes() {
  for (const proto::Server* node : snapshot_.state.servers().FindLiveServers(proto::ROLE_QUEUE)) {
    const NodeLoad* load = FindLoad(*node);
    if (load != nullptr && load->degraded) {
      Add("queue node " + DescribeServer(*node) +
          " has fewer copies of its log than wanted; start or add backups");
    }
    const NodeId later = snapshot_.state.servers().FindLaterIncarnation(*node);
    if (later.valid()) {
      Add("two queue nodes, " + std::to_string(node->node_id()) + " and " + later.ToString() +
          ", have the machine name " + node->machine() + "; give each machine its own name");
    }
  }
}

void ProblemList::DescribePartitions() {
  const std::size_t free = snapshot_.state.partitions().FindFreePartitions().size();
  if (free > 0) {
    const bool no_queue_node = snapshot_.state.servers().FindLiveServers(proto::ROLE_QUEUE).empty();
    Add(std::to_string(free) + " partitions have no owner" +
        (no_queue_node ? " because no queue node is up; start a store machine"
                       : " yet; they are being assigned"));
  }
}

void ProblemList::DescribeRecoveries() {
  for (const auto& [dead, recovery] : snapshot_.state.partitions().recoveries()) {
    const proto::Server* server = snapshot_.state.servers().Find(dead);
    const std::string pending =
        snapshot_.recovery_manager.DescribePendingWork(snapshot_.state, dead);
    Add("the batches of queue node " +
        (server == nullptr ? dead.ToString() : DescribeServer(*server)) + " are being recovered" +
        (pending.empty() ? "" : "; waiting for " + pending));
  }
}

void ProblemList::DescribeRetirements() {
  for (const std::string& machine : snapshot_.state.servers().retired_machines()) {
    DescribeRetirement(machine);
  }
}

void ProblemList::DescribeRetirement(const std::string& machine) {
  const RemainingDrainWork remaining =
      ComputeRemainingDrainWork(snapshot_.state, snapshot_.sweeper, machine);
  if (!remaining.IsDone()) {
    Add("machine " + machine + " is being emptied: " + std::to_string(remaining.partitions) +
        " partitions and " + std::to_string(remaining.replicas) +
        " segment replicas are left; do not stop it yet");
  } else if (remaining.live) {
    Add("machine " + machine + " is empty; stop it");
  }
}

void ProblemList::DescribeConfiguration() {
  const ConfigurationStore& configuration = snapshot_.state.configuration();
  if (configuration.in_force_version() >= configuration.version()) {
    return;
  }
  std::string waited_for;
  for (const NodeId node : snapshot_.gateways_behind) {
    const proto::Server* gateway = snapshot_.state.servers().Find(node);
    waited_for += waited_for.empty() ? "" : ", ";
    waited_for += gateway == nullptr ? node.ToString() : DescribeServer(*gateway);
  }
  Add("configuration version " + configuration.version().ToString() + " is not in force yet" +
      (waited_for.empty() ? ""
                          : "; waiting for gateway " + waited_for + " or the end of its lease"));
}

const NodeLoad* ProblemList::FindLoad(const proto::Server& server) const {
  const auto load = snapshot_.loads.find(NodeId(server.node_id()));
  return load == snapshot_.loads.end() ? nullptr : &load->second;
}

}  // namespace

std::vector<std::string> DescribeProblems(const FleetSnapshot& snapshot) {
  return ProblemList(snapshot).Build();
}

}  // namespace cloverbank

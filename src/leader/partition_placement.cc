#include "leader/partition_placement.h"

#include <algorithm>

namespace cloverbank {

std::vector<NodeId> FindEligibleQueueNodes(const ControlState& state,
                                           const std::set<NodeId>& unresponsive) {
  std::vector<NodeId> eligible;
  std::vector<NodeId> retiring;
  std::vector<NodeId> last_resort;
  for (const proto::Server* server : state.servers().FindLiveServers(proto::ROLE_QUEUE)) {
    const NodeId id(server->node_id());
    if (unresponsive.contains(id) || state.servers().FindLaterIncarnation(*server).valid()) {
      last_resort.push_back(id);
    } else if (server->state() == proto::SERVER_STATE_RETIRING) {
      retiring.push_back(id);
    } else {
      eligible.push_back(id);
    }
  }
  if (!eligible.empty()) {
    return eligible;
  }
  return retiring.empty() ? last_resort : retiring;
}

std::map<NodeId, std::vector<PartitionId>> PlacePartitions(
    const std::vector<PartitionId>& partitions, const ControlState& state,
    const std::set<NodeId>& unresponsive, const PlannedLoads& planned) {
  std::map<NodeId, std::size_t> partition_counts;
  for (const NodeId node : FindEligibleQueueNodes(state, unresponsive)) {
    const auto extra = planned.find(node);
    partition_counts[node] =
        state.partitions().CountAssigned(node) + (extra == planned.end() ? 0 : extra->second);
  }
  std::map<NodeId, std::vector<PartitionId>> placement;
  if (partition_counts.empty()) {
    return placement;
  }
  for (const PartitionId partition : partitions) {
    const auto least = std::min_element(
        partition_counts.begin(), partition_counts.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    ++least->second;
    placement[least->first].push_back(partition);
  }
  return placement;
}

bool MustHandOverPartitions(const ControlState& state, const proto::Server& server,
                            const std::set<NodeId>& unresponsive) {
  const bool retiring =
      server.role() == proto::ROLE_QUEUE && server.state() == proto::SERVER_STATE_RETIRING;
  if (!retiring || state.partitions().CountAssigned(NodeId(server.node_id())) == 0) {
    return false;
  }
  const std::vector<NodeId> others = FindEligibleQueueNodes(state, unresponsive);
  return std::any_of(others.begin(), others.end(), [&state](NodeId other) {
    return state.servers().Find(other)->state() == proto::SERVER_STATE_UP;
  });
}

}  // namespace cloverbank

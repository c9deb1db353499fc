#include "leader/partition_placement.h"

#include <algorithm>

namespace cloverbank {

std::vector<NodeId> EligibleQueueNodes(const ControlState& state,
                                       const std::set<NodeId>& doubtful) {
  std::vector<NodeId> eligible;
  std::vector<NodeId> retiring;
  std::vector<NodeId> unresponsive;
  for (const proto::Server* server : state.servers().Live(proto::ROLE_QUEUE)) {
    const NodeId id(server->node_id());
    if (doubtful.contains(id) || state.servers().FindLaterIncarnation(*server).valid()) {
      unresponsive.push_back(id);
    } else if (server->state() == proto::SERVER_STATE_RETIRING) {
      retiring.push_back(id);
    } else {
      eligible.push_back(id);
    }
  }
  if (!eligible.empty()) {
    return eligible;
  }
  return retiring.empty() ? unresponsive : retiring;
}

std::map<NodeId, std::vector<PartitionId>> SpreadPartitions(
    const std::vector<PartitionId>& partitions, const ControlState& state,
    const std::set<NodeId>& doubtful, const PlannedLoads& planned) {
  std::map<NodeId, std::size_t> load;
  for (const NodeId node : EligibleQueueNodes(state, doubtful)) {
    const auto more = planned.find(node);
    load[node] = state.partitions().LoadOf(node) + (more == planned.end() ? 0 : more->second);
  }
  std::map<NodeId, std::vector<PartitionId>> spread;
  if (load.empty()) {
    return spread;
  }
  for (const PartitionId partition : partitions) {
    const auto least = std::min_element(
        load.begin(), load.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    ++least->second;
    spread[least->first].push_back(partition);
  }
  return spread;
}

bool MustHandOver(const ControlState& state, const proto::Server& server,
                  const std::set<NodeId>& doubtful) {
  const bool retiring =
      server.role() == proto::ROLE_QUEUE && server.state() == proto::SERVER_STATE_RETIRING;
  if (!retiring || state.partitions().LoadOf(NodeId(server.node_id())) == 0) {
    return false;
  }
  const std::vector<NodeId> others = EligibleQueueNodes(state, doubtful);
  return std::any_of(others.begin(), others.end(), [&state](NodeId other) {
    return state.servers().Find(other)->state() == proto::SERVER_STATE_UP;
  });
}

}  // namespace cloverbank

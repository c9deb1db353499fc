#include "batch_work/acquire_planner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cloverbank {

std::vector<AcquirePlan> AcquirePlanner::PlanRequests(TimePoint now,
                                                      const std::vector<NodeId>& nodes,
                                                      const BatchCapacity& free) {
  RemoveNodesNotIn(nodes);
  std::vector<AcquirePlan> plans;
  if (nodes.empty()) {
    return plans;
  }
  for (std::size_t step = 0; step < nodes.size(); ++step) {
    const NodeId node = nodes[(rotation_ + step) % nodes.size()];
    NodeState& state = nodes_[node];
    if (state.in_flight || now < state.next_request) {
      continue;
    }
    BatchCapacity capacity = CapacityFor(state, now, free, nodes.size());
    if (capacity.empty()) {
      continue;
    }
    state.in_flight = true;
    state.reserved = capacity;
    state.next_request = now + options_.minimum_interval;
    const Duration long_poll_time = state.has_work ? Duration::zero() : options_.long_poll_time;
    state.reserved_until = now + long_poll_time + options_.response_timeout;
    plans.push_back({node, std::move(capacity), long_poll_time});
  }
  ++rotation_;
  return plans;
}

void AcquirePlanner::RecordResponse(NodeId node, std::size_t grants, TimePoint now) {
  NodeState& state = nodes_[node];
  state.in_flight = false;
  state.reserved.clear();
  state.has_work = grants > 0;
  state.next_request = std::max(state.next_request, now);
}

void AcquirePlanner::RecordFailure(NodeId node, TimePoint retry_at) {
  NodeState& state = nodes_[node];
  state.in_flight = false;
  state.reserved.clear();
  state.has_work = false;
  state.next_request = retry_at;
}

void AcquirePlanner::RemoveNodesNotIn(const std::vector<NodeId>& nodes) {
  std::erase_if(nodes_, [&nodes](const auto& entry) {
    return !entry.second.in_flight &&
           std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end();
  });
}

BatchCapacity AcquirePlanner::CapacityFor(const NodeState& state, TimePoint now,
                                          const BatchCapacity& free, std::size_t node_count) const {
  std::size_t sharing_nodes = node_count;
  if (state.has_work) {
    sharing_nodes = static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(), [](const auto& entry) { return entry.second.has_work; }));
  }
  BatchCapacity capacity;
  for (const auto& [backend, slots] : free) {
    std::uint32_t remaining = slots;
    for (const auto& [node, other] : nodes_) {
      const auto reserved = other.reserved.find(backend);
      const bool holds_reservation =
          other.in_flight && now < other.reserved_until && (other.has_work || !state.has_work);
      if (holds_reservation && reserved != other.reserved.end()) {
        remaining -= std::min(remaining, reserved->second);
      }
    }
    const auto even_share = static_cast<std::uint32_t>((slots + sharing_nodes - 1) / sharing_nodes);
    if (std::min(remaining, even_share) > 0) {
      capacity[backend] = std::min(remaining, even_share);
    }
  }
  return capacity;
}

}  // namespace cloverbank

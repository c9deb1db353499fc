#include "batch_work/acquire_planner.h"

#include <algorithm>
#include <utility>

namespace cloverbank {

std::vector<AcquirePlan> AcquirePlanner::PlanRequests(TimePoint now,
                                                      const std::vector<NodeId>& nodes,
                                                      const BatchCapacity& free) {
  RemoveNodesNotIn(nodes);
  std::vector<AcquirePlan> plans;
  for (std::size_t step = 0; step < nodes.size(); ++step) {
    const NodeId node = nodes[(rotation_ + step) % nodes.size()];
    if (now < nodes_[node].next_request) {
      continue;
    }
    PlanRequest(node, /*with_work=*/true, now, free, nodes.size(), &plans);
    PlanRequest(node, /*with_work=*/false, now, free, nodes.size(), &plans);
  }
  for (const AcquirePlan& plan : plans) {
    nodes_[plan.node].next_request = now + options_.minimum_interval;
  }
  ++rotation_;
  return plans;
}

void AcquirePlanner::PlanRequest(NodeId node, bool with_work, TimePoint now,
                                 const BatchCapacity& free, std::size_t node_count,
                                 std::vector<AcquirePlan>* plans) {
  NodeState& state = nodes_[node];
  BatchCapacity capacity;
  for (const auto& [backend, slots] : free) {
    if (state.HasWork(backend) != with_work || state.FindRequest(backend) != nullptr) {
      continue;
    }
    if (const std::uint32_t share = ShareOf(state, backend, slots, now, node_count); share > 0) {
      capacity[backend] = share;
    }
  }
  if (capacity.empty()) {
    return;
  }
  const Duration long_poll_time = with_work ? Duration::zero() : options_.long_poll_time;
  ++last_request_;
  state.in_flight[last_request_] = {capacity, now + long_poll_time,
                                    now + long_poll_time + options_.response_timeout};
  plans->push_back({node, last_request_, std::move(capacity), long_poll_time});
}

void AcquirePlanner::RecordResponse(const AcquirePlan& plan,
                                    const std::set<std::string>& granted_backends, TimePoint now) {
  NodeState& state = nodes_[plan.node];
  const auto request = state.in_flight.find(plan.request);
  const bool is_early = request != state.in_flight.end() && now < request->second.long_poll_ends;
  const bool asks_for_new_request = granted_backends.empty() && is_early;
  state.in_flight.erase(plan.request);
  for (const auto& [backend, slots] : plan.capacity) {
    if (granted_backends.contains(backend) || asks_for_new_request) {
      state.backends_with_work.insert(backend);
    } else {
      state.backends_with_work.erase(backend);
    }
  }
}

void AcquirePlanner::RecordFailure(const AcquirePlan& plan, TimePoint retry_at) {
  NodeState& state = nodes_[plan.node];
  state.in_flight.erase(plan.request);
  state.backends_with_work.clear();
  state.next_request = retry_at;
}

void AcquirePlanner::RemoveNodesNotIn(const std::vector<NodeId>& nodes) {
  std::erase_if(nodes_, [&nodes](const auto& entry) {
    return entry.second.in_flight.empty() &&
           std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end();
  });
}

const AcquirePlanner::Request* AcquirePlanner::NodeState::FindRequest(
    const std::string& backend) const {
  const auto found = std::find_if(in_flight.begin(), in_flight.end(), [&](const auto& entry) {
    return entry.second.reserved.contains(backend);
  });
  return found == in_flight.end() ? nullptr : &found->second;
}

std::uint32_t AcquirePlanner::ShareOf(const NodeState& state, const std::string& backend,
                                      std::uint32_t slots, TimePoint now,
                                      std::size_t node_count) const {
  const bool has_work = state.HasWork(backend);
  std::size_t nodes_with_work = 0;
  std::size_t offers = 0;
  std::uint32_t remaining = slots;
  for (const auto& [node, other] : nodes_) {
    nodes_with_work += other.HasWork(backend) ? 1 : 0;
    const Request* request = other.FindRequest(backend);
    const bool is_reserved = request != nullptr && now < request->reserved_until &&
                             (other.HasWork(backend) || !has_work);
    if (is_reserved) {
      ++offers;
      remaining -= std::min(remaining, request->reserved.at(backend));
    }
  }
  const std::size_t sharing_nodes = has_work ? nodes_with_work : node_count;
  const auto even_share = static_cast<std::uint32_t>((slots + sharing_nodes - 1) / sharing_nodes);
  const bool has_few_slots = slots > 0 && slots < options_.minimum_offers;
  const bool offers_more = has_few_slots && !has_work && offers < options_.minimum_offers;
  return std::max(std::min(remaining, even_share), offers_more ? 1U : 0U);
}

}  // namespace cloverbank

#include "batch_work/batch_work_offers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cloverbank {

std::vector<WorkOffer> WorkOffers::Next(TimePoint now, const std::vector<NodeId>& nodes,
                                        const BatchCapacity& free) {
  Forget(nodes);
  std::vector<WorkOffer> offers;
  if (nodes.empty()) {
    return offers;
  }
  for (std::size_t step = 0; step < nodes.size(); ++step) {
    const NodeId node = nodes[(first_ + step) % nodes.size()];
    Asked& asked = asked_[node];
    if (asked.under_way || now < asked.next_ask) {
      continue;
    }
    BatchCapacity capacity = CapacityFor(asked, now, free, nodes.size());
    if (capacity.empty()) {
      continue;
    }
    asked.under_way = true;
    asked.offered = capacity;
    asked.next_ask = now + options_.minimum_interval;
    const Duration hold = asked.busy ? Duration::zero() : options_.hold;
    asked.offered_until = now + hold + options_.response_timeout;
    offers.push_back({node, std::move(capacity), hold});
  }
  ++first_;
  return offers;
}

void WorkOffers::Answered(NodeId node, std::size_t grants, TimePoint now) {
  Asked& asked = asked_[node];
  asked.under_way = false;
  asked.offered.clear();
  asked.busy = grants > 0;
  asked.next_ask = std::max(asked.next_ask, now);
}

void WorkOffers::Failed(NodeId node, TimePoint retry_at) {
  Asked& asked = asked_[node];
  asked.under_way = false;
  asked.offered.clear();
  asked.busy = false;
  asked.next_ask = retry_at;
}

void WorkOffers::Forget(const std::vector<NodeId>& nodes) {
  std::erase_if(asked_, [&nodes](const auto& entry) {
    return !entry.second.under_way &&
           std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end();
  });
}

BatchCapacity WorkOffers::CapacityFor(const Asked& asked, TimePoint now, const BatchCapacity& free,
                                      std::size_t nodes) const {
  std::size_t sharers = nodes;
  if (asked.busy) {
    sharers = static_cast<std::size_t>(std::count_if(
        asked_.begin(), asked_.end(), [](const auto& entry) { return entry.second.busy; }));
  }
  BatchCapacity capacity;
  for (const auto& [backend, slots] : free) {
    std::uint32_t left = slots;
    for (const auto& [node, other] : asked_) {
      const auto offered = other.offered.find(backend);
      const bool counts =
          other.under_way && now < other.offered_until && (other.busy || !asked.busy);
      if (counts && offered != other.offered.end()) {
        left -= std::min(left, offered->second);
      }
    }
    const auto quota = static_cast<std::uint32_t>((slots + sharers - 1) / sharers);
    if (std::min(left, quota) > 0) {
      capacity[backend] = std::min(left, quota);
    }
  }
  return capacity;
}

}  // namespace cloverbank

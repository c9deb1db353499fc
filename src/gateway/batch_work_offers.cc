#include "gateway/batch_work_offers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cloverbank {

std::vector<WorkOffer> WorkOffers::Next(TimePoint now, const std::vector<NodeId>& nodes,
                                        const BatchRoom& free) {
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
    BatchRoom room = RoomFor(asked, free, nodes.size());
    if (room.empty()) {
      continue;
    }
    asked.under_way = true;
    asked.offered = room;
    asked.next_ask = now + options_.minimum_interval;
    offers.push_back({node, std::move(room), asked.busy ? Duration::zero() : options_.hold});
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

BatchRoom WorkOffers::RoomFor(const Asked& asked, const BatchRoom& free, std::size_t nodes) const {
  std::size_t sharers = nodes;
  if (asked.busy) {
    sharers = static_cast<std::size_t>(std::count_if(
        asked_.begin(), asked_.end(), [](const auto& entry) { return entry.second.busy; }));
  }
  BatchRoom room;
  for (const auto& [backend, slots] : free) {
    std::uint32_t left = slots;
    for (const auto& [node, other] : asked_) {
      const auto offered = other.offered.find(backend);
      const bool counts = other.under_way && (other.busy || !asked.busy);
      if (counts && offered != other.offered.end()) {
        left -= std::min(left, offered->second);
      }
    }
    const auto share = static_cast<std::uint32_t>((slots + sharers - 1) / sharers);
    if (std::min(left, share) > 0) {
      room[backend] = std::min(left, share);
    }
  }
  return room;
}

}  // namespace cloverbank

#include "leader/lease_table.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// Share of a lease by which the holder's clock may run slower than the giver's.
constexpr int kClockDriftDivisor = 100;

}  // namespace

LeaseTable::LeaseTable(Duration lease)
    : lease_(lease), counted_(lease + lease / kClockDriftDivisor) {}

void LeaseTable::Start(TimePoint now, NodeId next_node_id) {
  holders_.clear();
  unknown_until_ = now + counted_;
  first_known_ = next_node_id;
}

void LeaseTable::Grant(NodeId node, ConfigurationVersion version, TimePoint arrival) {
  TimePoint& end = holders_[node].ends[version];
  end = std::max(end, arrival + counted_);
}

void LeaseTable::Confirm(NodeId node, ConfigurationVersion version) {
  Holder& holder = holders_[node];
  holder.confirmed = std::max(holder.confirmed, version);
}

TimePoint LeaseTable::LeaseEnd(NodeId node) const {
  TimePoint end = node < first_known_ ? unknown_until_ : TimePoint();
  const auto holder = holders_.find(node);
  if (holder != holders_.end()) {
    for (const auto& [version, granted] : holder->second.ends) {
      end = std::max(end, granted);
    }
  }
  return end;
}

ConfigurationVersion LeaseTable::Confirmed(NodeId node) const {
  const auto entry = holders_.find(node);
  return entry == holders_.end() ? ConfigurationVersion() : entry->second.confirmed;
}

std::optional<ConfigurationVersion> LeaseTable::LowestVersionInUse(NodeId node,
                                                                   TimePoint now) const {
  const auto entry = holders_.find(node);
  const ConfigurationVersion confirmed = Confirmed(node);
  if (node < first_known_ && now < unknown_until_) {
    return confirmed;
  }
  if (entry == holders_.end()) {
    return std::nullopt;
  }
  for (const auto& [version, end] : entry->second.ends) {
    if (now < end) {
      return std::max(confirmed, version);
    }
  }
  return std::nullopt;
}

void LeaseTable::Expire(TimePoint now) {
  for (auto& [node, holder] : holders_) {
    std::erase_if(holder.ends, [now](const auto& entry) { return entry.second <= now; });
  }
  if (now >= unknown_until_) {
    std::erase_if(holders_, [](const auto& entry) { return entry.second.ends.empty(); });
  }
}

}  // namespace cloverbank

#include "leader/lease_table.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// Clocks of holder and leader may differ in rate by one part in this many.
constexpr int kClockDriftDivisor = 100;

}  // namespace

LeaseTable::LeaseTable(Duration lease)
    : lease_(lease), lease_with_drift_(lease + lease / kClockDriftDivisor) {}

void LeaseTable::Start(TimePoint now, NodeId next_node_id) {
  holders_.clear();
  predecessor_leases_end_ = now + lease_with_drift_;
  first_own_node_id_ = next_node_id;
}

void LeaseTable::RecordGrant(NodeId node, ConfigurationVersion version, TimePoint arrival) {
  TimePoint& end = holders_[node].ends[version];
  end = std::max(end, arrival + lease_with_drift_);
}

void LeaseTable::RecordConfirmation(NodeId node, ConfigurationVersion version) {
  Holder& holder = holders_[node];
  holder.confirmed = std::max(holder.confirmed, version);
}

TimePoint LeaseTable::FindLeaseEnd(NodeId node) const {
  TimePoint end = node < first_own_node_id_ ? predecessor_leases_end_ : TimePoint();
  const auto holder = holders_.find(node);
  if (holder != holders_.end()) {
    for (const auto& [version, granted] : holder->second.ends) {
      end = std::max(end, granted);
    }
  }
  return end;
}

ConfigurationVersion LeaseTable::FindConfirmedVersion(NodeId node) const {
  const auto entry = holders_.find(node);
  return entry == holders_.end() ? ConfigurationVersion() : entry->second.confirmed;
}

std::optional<ConfigurationVersion> LeaseTable::LowestVersionInUse(NodeId node,
                                                                   TimePoint now) const {
  const auto entry = holders_.find(node);
  const ConfigurationVersion confirmed = FindConfirmedVersion(node);
  if (node < first_own_node_id_ && now < predecessor_leases_end_) {
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
  if (now >= predecessor_leases_end_) {
    std::erase_if(holders_, [](const auto& entry) { return entry.second.ends.empty(); });
  }
}

}  // namespace cloverbank

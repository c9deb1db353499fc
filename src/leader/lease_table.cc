#include "leader/lease_table.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// The rates of the holder's and the leader's clock may differ by at most 1 / kClockDriftDivisor.
constexpr int kClockDriftDivisor = 100;

}  // namespace

LeaseTable::LeaseTable(Duration lease)
    : lease_(lease), lease_with_drift_(lease + lease / kClockDriftDivisor) {}

void LeaseTable::Start(TimePoint now, NodeId next_node_id) {
  leases_by_node_.clear();
  predecessor_leases_end_ = now + lease_with_drift_;
  first_own_node_id_ = next_node_id;
}

void LeaseTable::RecordGrant(NodeId node, ConfigurationVersion version, TimePoint arrival) {
  TimePoint& end = leases_by_node_[node].ends[version];
  end = std::max(end, arrival + lease_with_drift_);
}

void LeaseTable::RecordConfirmation(NodeId node, ConfigurationVersion version) {
  NodeLeases& node_leases = leases_by_node_[node];
  node_leases.confirmed = std::max(node_leases.confirmed, version);
}

TimePoint LeaseTable::FindLeaseEnd(NodeId node) const {
  TimePoint end = node < first_own_node_id_ ? predecessor_leases_end_ : TimePoint();
  const auto node_leases = leases_by_node_.find(node);
  if (node_leases != leases_by_node_.end()) {
    for (const auto& [version, granted] : node_leases->second.ends) {
      end = std::max(end, granted);
    }
  }
  return end;
}

ConfigurationVersion LeaseTable::FindConfirmedVersion(NodeId node) const {
  const auto entry = leases_by_node_.find(node);
  return entry == leases_by_node_.end() ? ConfigurationVersion() : entry->second.confirmed;
}

std::optional<ConfigurationVersion> LeaseTable::FindLowestVersionInUse(NodeId node,
                                                                       TimePoint now) const {
  const auto entry = leases_by_node_.find(node);
  const ConfigurationVersion confirmed = FindConfirmedVersion(node);
  if (node < first_own_node_id_ && now < predecessor_leases_end_) {
    return confirmed;
  }
  if (entry == leases_by_node_.end()) {
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
  for (auto& [node, node_leases] : leases_by_node_) {
    std::erase_if(node_leases.ends, [now](const auto& entry) { return entry.second <= now; });
  }
  if (now >= predecessor_leases_end_) {
    std::erase_if(leases_by_node_, [](const auto& entry) { return entry.second.ends.empty(); });
  }
}

}  // namespace cloverbank

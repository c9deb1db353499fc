#include "leader/unreachable_nodes.h"

#include "control_state/proto_endpoint.h"
#include "control_state/server_registry.h"

namespace cloverbank {
namespace {

constexpr Duration kNotificationInterval = milliseconds(500);
/// A node that is absent for longer must find the coordinators by its seeds.
constexpr Duration kNotificationLimit = seconds(60);

}  // namespace

std::vector<UnreachableNodes::NodeLocation> UnreachableNodes::StartDueNotifications(
    const ControlState& state, const std::set<NodeId>& unresponsive, TimePoint now) {
  const std::set<NodeLocation> present = RecordLive(state, unresponsive, now);
  ForgetLongAbsent(now);
  std::vector<NodeLocation> due;
  for (auto& [location, entry] : entries_) {
    if (now >= entry.next && (!entry.notified || !present.contains(location))) {
      due.push_back(location);
      entry.notified = true;
      entry.next = now + kNotificationInterval;
    }
  }
  return due;
}

std::set<UnreachableNodes::NodeLocation> UnreachableNodes::RecordLive(
    const ControlState& state, const std::set<NodeId>& unresponsive, TimePoint now) {
  std::set<NodeLocation> present;
  for (const auto& [id, server] : state.servers().servers()) {
    if (!IsLive(server)) {
      continue;
    }
    const NodeLocation location{ToEndpoint(server.peer_endpoint()), server.role()};
    Entry& entry = entries_.try_emplace(location, Entry{now, now, false}).first->second;
    if (!unresponsive.contains(id)) {
      entry.last_present = now;
      present.insert(location);
    }
  }
  return present;
}

void UnreachableNodes::ForgetLongAbsent(TimePoint now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.last_present > kNotificationLimit;
  });
}

}  // namespace cloverbank

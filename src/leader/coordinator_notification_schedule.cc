#include "leader/coordinator_notification_schedule.h"

#include "control_state/proto_endpoint.h"
#include "control_state/server_registry.h"

namespace cloverbank {
namespace {

/// Between two notifications of the same location.
constexpr Duration kNotificationInterval = milliseconds(500);
/// How long the leader notifies a location whose node is unresponsive or dead. A node that is
/// absent for longer must find the coordinators by its seeds.
constexpr Duration kNotificationLimit = seconds(60);

}  // namespace

std::vector<CoordinatorNotificationSchedule::NodeLocation>
CoordinatorNotificationSchedule::StartDueNotifications(const ControlState& state,
                                                       const std::set<NodeId>& unresponsive,
                                                       TimePoint now) {
  const std::set<NodeLocation> responsive = RecordLiveNodes(state, unresponsive, now);
  ForgetLongAbsent(now);
  std::vector<NodeLocation> due;
  for (auto& [location, entry] : entries_) {
    if (now >= entry.next_notification && (!entry.notified || !responsive.contains(location))) {
      due.push_back(location);
      entry.notified = true;
      entry.next_notification = now + kNotificationInterval;
    }
  }
  return due;
}

std::set<CoordinatorNotificationSchedule::NodeLocation>
CoordinatorNotificationSchedule::RecordLiveNodes(const ControlState& state,
                                                 const std::set<NodeId>& unresponsive,
                                                 TimePoint now) {
  std::set<NodeLocation> responsive;
  for (const auto& [id, server] : state.servers().servers()) {
    if (!IsLive(server)) {
      continue;
    }
    const NodeLocation location{ToEndpoint(server.peer_endpoint()), server.role()};
    Entry& entry = entries_.try_emplace(location, Entry{now, now, false}).first->second;
    if (!unresponsive.contains(id)) {
      entry.last_responsive = now;
      responsive.insert(location);
    }
  }
  return responsive;
}

void CoordinatorNotificationSchedule::ForgetLongAbsent(TimePoint now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.last_responsive > kNotificationLimit;
  });
}

}  // namespace cloverbank

#include "leader/unreachable_nodes.h"

#include "control_state/proto_endpoint.h"
#include "control_state/server_registry.h"

namespace cloverbank {
namespace {

constexpr Duration kInterval = milliseconds(500);
/// A node that stays away for longer has to find the coordinators by its seeds.
constexpr Duration kLongest = seconds(60);

}  // namespace

std::vector<UnreachableNodes::NodeLocation> UnreachableNodes::Due(
    const ControlState& state, const std::set<NodeId>& unresponsive, TimePoint now) {
  std::set<NodeLocation> present;
  for (const auto& [id, server] : state.servers().servers()) {
    if (!IsLive(server)) {
      continue;
    }
    const NodeLocation location{ToEndpoint(server.peer_endpoint()), server.role()};
    entries_.try_emplace(location, Entry{now, now, false});
    if (!unresponsive.contains(id)) {
      present.insert(location);
    }
  }
  std::vector<NodeLocation> due;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const NodeLocation location = entry->first;
    Entry& known = entry->second;
    const bool is_present = present.contains(location);
    if (is_present) {
      known.last_present = now;
    }
    if (now - known.last_present > kLongest) {
      entry = entries_.erase(entry);
      continue;
    }
    if (now >= known.next && (!known.notified || !is_present)) {
      due.push_back(location);
      known.notified = true;
      known.next = now + kInterval;
    }
    ++entry;
  }
  return due;
}

}  // namespace cloverbank

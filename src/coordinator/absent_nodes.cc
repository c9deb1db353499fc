#include "coordinator/absent_nodes.h"

#include "coordinator/proto_endpoint.h"
#include "coordinator/server_registry.h"

namespace cloverbank {
namespace {

constexpr Duration kInterval = milliseconds(500);
/// A node that stays away for longer has to find the coordinators by its seeds.
constexpr Duration kLongest = seconds(60);

}  // namespace

std::vector<AbsentNodes::Place> AbsentNodes::Due(const ControlState& state,
                                                 const std::set<NodeId>& silent, TimePoint now) {
  std::set<Place> present;
  for (const auto& [id, server] : state.servers().servers()) {
    if (!IsLive(server)) {
      continue;
    }
    const Place place{ToEndpoint(server.peer_endpoint()), server.role()};
    entries_.try_emplace(place, Entry{now, now, false});
    if (!silent.contains(id)) {
      present.insert(place);
    }
  }
  std::vector<Place> due;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const Place place = entry->first;
    Entry& known = entry->second;
    const bool is_present = present.contains(place);
    if (is_present) {
      known.last_present = now;
    }
    if (now - known.last_present > kLongest) {
      entry = entries_.erase(entry);
      continue;
    }
    if (now >= known.next && (!known.told || !is_present)) {
      due.push_back(place);
      known.told = true;
      known.next = now + kInterval;
    }
    ++entry;
  }
  return due;
}

}  // namespace cloverbank

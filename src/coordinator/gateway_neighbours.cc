#include "coordinator/gateway_neighbours.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <vector>

namespace cloverbank {
namespace {

/// Neighbours named to a gateway, at most.
constexpr std::size_t kMaximumNeighbours = 32;
/// List sources named to a gateway, at most, of its own zone and of other zones each.
constexpr std::size_t kMaximumListSources = 3;

using Gateways = std::vector<const proto::Server*>;

Gateways InZone(const Gateways& gateways, const std::string& zone) {
  Gateways in_zone = gateways;
  std::erase_if(in_zone, [&zone](const proto::Server* other) { return other->zone() != zone; });
  return in_zone;
}

/// Adds those that follow in the ring of ids: with many gateways each knows a few, and each is
/// known to a few.
void AddNeighbours(const Gateways& zone, std::size_t rank, proto::HeartbeatResponse* response) {
  const std::size_t neighbours = std::min(kMaximumNeighbours, zone.size() - 1);
  for (std::size_t step = 1; step <= neighbours; ++step) {
    *response->add_neighbours() = zone[(rank + step) % zone.size()]->peer_endpoint();
  }
}

void AddListSources(const Gateways& zone, std::size_t rank, proto::HeartbeatResponse* response) {
  for (std::size_t source = 0; source < std::min(kMaximumListSources, rank); ++source) {
    *response->add_list_sources() = zone[source]->peer_endpoint();
  }
}

/// Adds the first gateways of the zones that come before `self`, itself the first of its zone.
void AddRemoteListSources(const Gateways& gateways, const proto::Server& self,
                          proto::HeartbeatResponse* response) {
  std::set<std::string_view> zones;
  for (const proto::Server* gateway : gateways) {
    const bool enough =
        static_cast<std::size_t>(response->remote_list_sources_size()) >= kMaximumListSources;
    if (gateway == &self || enough) {
      return;
    }
    if (zones.insert(gateway->zone()).second) {
      *response->add_remote_list_sources() = gateway->peer_endpoint();
    }
  }
}

}  // namespace

void AddGatewayNeighbours(const ControlState& state, NodeId node,
                          proto::HeartbeatResponse* response) {
  const proto::Server* self = state.servers().FindLive(node, proto::ROLE_GATEWAY);
  if (self == nullptr) {
    return;
  }
  const Gateways all = state.servers().FindLiveServers(proto::ROLE_GATEWAY);
  const Gateways zone = InZone(all, self->zone());
  const auto rank =
      static_cast<std::size_t>(std::find(zone.begin(), zone.end(), self) - zone.begin());
  response->set_zone_gateway_count(static_cast<std::uint32_t>(zone.size()));
  response->set_zone_gateway_index(static_cast<std::uint32_t>(rank));
  AddNeighbours(zone, rank, response);
  AddListSources(zone, rank, response);
  if (rank == 0) {
    AddRemoteListSources(all, *self, response);
  }
}

}  // namespace cloverbank

#include "coordinator/gateway_neighbours.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <vector>

namespace cloverbank {
namespace {

/// Maximum number of neighbours that a gateway is given.
constexpr std::size_t kMaximumNeighbours = 32;
/// Maximum number of list sources that a gateway is given in its own zone; the same maximum applies
/// to those in other zones.
constexpr std::size_t kMaximumListSources = 3;

using Gateways = std::vector<const proto::Server*>;

Gateways FilterByZone(const Gateways& gateways, const std::string& zone) {
  Gateways in_zone = gateways;
  std::erase_if(in_zone, [&zone](const proto::Server* gateway) { return gateway->zone() != zone; });
  return in_zone;
}

/// Adds the gateways that follow the one at `rank` in the ring of node ids, so that among many
/// gateways each has a limited number of neighbours and is a neighbour of as many.
void AddNeighbours(const Gateways& zone_gateways, std::size_t rank,
                   proto::HeartbeatResponse* response) {
  const std::size_t neighbours = std::min(kMaximumNeighbours, zone_gateways.size() - 1);
  for (std::size_t step = 1; step <= neighbours; ++step) {
    *response->add_neighbours() =
        zone_gateways[(rank + step) % zone_gateways.size()]->peer_endpoint();
  }
}

/// Adds the first gateways of the zone that come before the one at `rank`.
void AddListSources(const Gateways& zone_gateways, std::size_t rank,
                    proto::HeartbeatResponse* response) {
  for (std::size_t index = 0; index < std::min(kMaximumListSources, rank); ++index) {
    *response->add_list_sources() = zone_gateways[index]->peer_endpoint();
  }
}

/// Adds the first gateway of each other zone, if it comes before `self`, which must be the first
/// gateway of its own zone.
void AddRemoteListSources(const Gateways& gateways, const proto::Server& self,
                          proto::HeartbeatResponse* response) {
  std::set<std::string_view> zones;
  for (const proto::Server* gateway : gateways) {
    const bool reached_limit =
        static_cast<std::size_t>(response->remote_list_sources_size()) >= kMaximumListSources;
    if (gateway == &self || reached_limit) {
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
  const Gateways zone_gateways = FilterByZone(all, self->zone());
  const auto rank = static_cast<std::size_t>(
      std::find(zone_gateways.begin(), zone_gateways.end(), self) - zone_gateways.begin());
  response->set_zone_gateway_count(static_cast<std::uint32_t>(zone_gateways.size()));
  response->set_zone_gateway_index(static_cast<std::uint32_t>(rank));
  AddNeighbours(zone_gateways, rank, response);
  AddListSources(zone_gateways, rank, response);
  if (rank == 0) {
    AddRemoteListSources(all, *self, response);
  }
}

}  // namespace cloverbank

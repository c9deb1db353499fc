#include "coordinator/gateway_neighbours.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
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

/// @return the gateways in zones of that region.
Gateways FilterByRegion(const Gateways& gateways, const std::map<std::string, proto::Zone>& zones,
                        const std::string& region) {
  Gateways in_region = gateways;
  std::erase_if(in_region, [&](const proto::Server* gateway) {
    const auto zone = zones.find(gateway->zone());
    return zone == zones.end() || zone->second.region() != region;
  });
  return in_region;
}

std::size_t RankOf(const Gateways& gateways, const proto::Server* gateway) {
  return static_cast<std::size_t>(std::find(gateways.begin(), gateways.end(), gateway) -
                                  gateways.begin());
}

/// Adds the rank of `self` for each configured zone without gateways that it serves: zones of its
/// region, and those of regions that have no gateway at all.
void AddZonesWithoutGateway(const Gateways& all, const proto::Server* self,
                            const std::map<std::string, proto::Zone>& zones,
                            proto::HeartbeatResponse* response) {
  std::set<std::string_view> zones_with_gateway;
  for (const proto::Server* gateway : all) {
    zones_with_gateway.insert(gateway->zone());
  }
  for (const auto& [name, zone] : zones) {
    if (zones_with_gateway.contains(name)) {
      continue;
    }
    Gateways serving = FilterByRegion(all, zones, zone.region());
    serving = serving.empty() ? all : serving;
    const std::size_t rank = RankOf(serving, self);
    if (rank < serving.size()) {
      proto::ZoneRank& served = *response->add_zones_without_gateway();
      served.set_zone(name);
      served.set_gateway_count(static_cast<std::uint32_t>(serving.size()));
      served.set_gateway_index(static_cast<std::uint32_t>(rank));
    }
  }
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
  const std::size_t rank = RankOf(zone_gateways, self);
  response->set_zone_gateway_count(static_cast<std::uint32_t>(zone_gateways.size()));
  response->set_zone_gateway_index(static_cast<std::uint32_t>(rank));
  AddZonesWithoutGateway(all, self, state.configuration().objects().zones, response);
  AddNeighbours(zone_gateways, rank, response);
  AddListSources(zone_gateways, rank, response);
  if (rank == 0) {
    AddRemoteListSources(all, *self, response);
  }
}

}  // namespace cloverbank

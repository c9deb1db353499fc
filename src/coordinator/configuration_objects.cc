#include "coordinator/configuration_objects.h"

namespace cloverbank {

std::string ConfigurationObjectKey::ToString() const {
  switch (kind) {
    case ConfigurationObjectKind::kRoute:
      return "route \"" + name + "\"";
    case ConfigurationObjectKind::kZone:
      return "zone \"" + name + "\"";
    case ConfigurationObjectKind::kTenant:
      return "tenant \"" + name + "\"";
    case ConfigurationObjectKind::kBatch:
      return "batch settings";
    case ConfigurationObjectKind::kNone:
      break;
  }
  return "nothing";
}

ConfigurationObjectKey KeyOf(const proto::ConfigurationChange& change) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      return {ConfigurationObjectKind::kRoute, change.set_route().name()};
    case proto::ConfigurationChange::kRemoveRoute:
      return {ConfigurationObjectKind::kRoute, change.remove_route()};
    case proto::ConfigurationChange::kSetZone:
      return {ConfigurationObjectKind::kZone, change.set_zone().name()};
    case proto::ConfigurationChange::kRemoveZone:
      return {ConfigurationObjectKind::kZone, change.remove_zone()};
    case proto::ConfigurationChange::kSetTenant:
      return {ConfigurationObjectKind::kTenant, change.set_tenant().name()};
    case proto::ConfigurationChange::kRemoveTenant:
      return {ConfigurationObjectKind::kTenant, change.remove_tenant()};
    case proto::ConfigurationChange::kSetBatch:
      return {ConfigurationObjectKind::kBatch, ""};
    case proto::ConfigurationChange::CHANGE_NOT_SET:
      break;
  }
  return {};
}

void ConfigurationObjects::Apply(const proto::ConfigurationChange& change) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      routes[change.set_route().name()] = change.set_route();
      return;
    case proto::ConfigurationChange::kRemoveRoute:
      routes.erase(change.remove_route());
      return;
    case proto::ConfigurationChange::kSetZone:
      zones[change.set_zone().name()] = change.set_zone();
      return;
    case proto::ConfigurationChange::kRemoveZone:
      zones.erase(change.remove_zone());
      return;
    case proto::ConfigurationChange::kSetTenant:
      tenants[change.set_tenant().name()] = change.set_tenant();
      return;
    case proto::ConfigurationChange::kRemoveTenant:
      tenants.erase(change.remove_tenant());
      return;
    case proto::ConfigurationChange::kSetBatch:
      batch = change.set_batch();
      return;
    case proto::ConfigurationChange::CHANGE_NOT_SET:
      return;
  }
}

proto::RoutingConfiguration ConfigurationObjects::ToProto() const {
  proto::RoutingConfiguration configuration;
  for (const auto& [name, route] : routes) {
    *configuration.add_routes() = route;
  }
  for (const auto& [name, zone] : zones) {
    *configuration.add_zones() = zone;
  }
  for (const auto& [name, tenant] : tenants) {
    *configuration.add_tenants() = tenant;
  }
  *configuration.mutable_batch() = batch;
  return configuration;
}

void ConfigurationObjects::Load(const proto::RoutingConfiguration& configuration) {
  *this = ConfigurationObjects();
  for (const proto::Route& route : configuration.routes()) {
    routes[route.name()] = route;
  }
  for (const proto::Zone& zone : configuration.zones()) {
    zones[zone.name()] = zone;
  }
  for (const proto::Tenant& tenant : configuration.tenants()) {
    tenants[tenant.name()] = tenant;
  }
  batch = configuration.batch();
}

}  // namespace cloverbank

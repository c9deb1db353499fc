#include "control_state/configuration_objects.h"

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
    case ConfigurationObjectKind::kBackend:
      return "backend \"" + name + "\"";
    case ConfigurationObjectKind::kDocument:
      return "document";
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
    case proto::ConfigurationChange::kSetBackend:
      return {ConfigurationObjectKind::kBackend, change.set_backend().name()};
    case proto::ConfigurationChange::kRemoveBackend:
      return {ConfigurationObjectKind::kBackend, change.remove_backend()};
    case proto::ConfigurationChange::kSetDocument:
      return {ConfigurationObjectKind::kDocument, ""};
    case proto::ConfigurationChange::kEnsureZone:
      return {ConfigurationObjectKind::kZone, change.ensure_zone().name()};
    case proto::ConfigurationChange::CHANGE_NOT_SET:
      break;
  }
  return {};
}

namespace {

/// Tag and length of an object inside the whole; a longer length only makes the whole longer.
constexpr std::size_t kFramingBytes = 2;

template <typename Map>
std::size_t Remove(const std::string& name, Map* objects) {
  const auto found = objects->find(name);
  if (found == objects->end()) {
    return 0;
  }
  const std::size_t bytes = found->second.ByteSizeLong() + kFramingBytes;
  objects->erase(found);
  return bytes;
}

template <typename Named, typename Map>
std::size_t Insert(const Named& object, Map* objects) {
  objects->emplace(object.name(), object);
  return object.ByteSizeLong() + kFramingBytes;
}

}  // namespace

void ConfigurationObjects::Apply(const proto::ConfigurationChange& change) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      bytes -= Remove(change.set_route().name(), &routes);
      bytes += Insert(change.set_route(), &routes);
      return;
    case proto::ConfigurationChange::kRemoveRoute:
      bytes -= Remove(change.remove_route(), &routes);
      return;
    case proto::ConfigurationChange::kSetZone:
      bytes -= Remove(change.set_zone().name(), &zones);
      bytes += Insert(change.set_zone(), &zones);
      return;
    case proto::ConfigurationChange::kRemoveZone:
      bytes -= Remove(change.remove_zone(), &zones);
      return;
    case proto::ConfigurationChange::kSetTenant:
      bytes -= Remove(change.set_tenant().name(), &tenants);
      bytes += Insert(change.set_tenant(), &tenants);
      return;
    case proto::ConfigurationChange::kRemoveTenant:
      bytes -= Remove(change.remove_tenant(), &tenants);
      return;
    case proto::ConfigurationChange::kSetBatch:
      batch = change.set_batch();
      return;
    case proto::ConfigurationChange::kSetBackend:
      bytes -= Remove(change.set_backend().name(), &backends);
      bytes += Insert(change.set_backend(), &backends);
      return;
    case proto::ConfigurationChange::kRemoveBackend:
      bytes -= Remove(change.remove_backend(), &backends);
      return;
    case proto::ConfigurationChange::kSetDocument:
      bytes -= document.ByteSizeLong();
      document = change.set_document();
      bytes += document.ByteSizeLong();
      return;
    case proto::ConfigurationChange::kEnsureZone:
      if (!zones.contains(change.ensure_zone().name())) {
        bytes += Insert(change.ensure_zone(), &zones);
      }
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
  for (const auto& [name, backend] : backends) {
    *configuration.add_backends() = backend;
  }
  *configuration.mutable_batch() = batch;
  if (document.ByteSizeLong() > 0) {
    *configuration.mutable_document() = document;
  }
  return configuration;
}

void ConfigurationObjects::Load(const proto::RoutingConfiguration& configuration) {
  *this = ConfigurationObjects();
  for (const proto::Route& route : configuration.routes()) {
    bytes += Insert(route, &routes);
  }
  for (const proto::Zone& zone : configuration.zones()) {
    bytes += Insert(zone, &zones);
  }
  for (const proto::Tenant& tenant : configuration.tenants()) {
    bytes += Insert(tenant, &tenants);
  }
  for (const proto::Backend& backend : configuration.backends()) {
    bytes += Insert(backend, &backends);
  }
  batch = configuration.batch();
  document = configuration.document();
  bytes += document.ByteSizeLong();
}

}  // namespace cloverbank

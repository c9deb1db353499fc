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

ConfigurationObjectKey ObjectKeyFor(const proto::ConfigurationChange& change) {
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

/// Fewest bytes that the tag and length of an object take in the serialized configuration.
constexpr std::size_t kFramingBytes = 2;

}  // namespace

template <typename Object>
void ConfigurationObjects::Insert(const Object& object, std::map<std::string, Object>* objects) {
  const bool inserted = objects->emplace(object.name(), object).second;
  bytes += inserted ? object.ByteSizeLong() + kFramingBytes : 0;
}

template <typename Object>
void ConfigurationObjects::Remove(const std::string& name, std::map<std::string, Object>* objects) {
  const auto found = objects->find(name);
  if (found != objects->end()) {
    bytes -= found->second.ByteSizeLong() + kFramingBytes;
    objects->erase(found);
  }
}

template <typename Object>
void ConfigurationObjects::Set(const Object& object, std::map<std::string, Object>* objects) {
  Remove(object.name(), objects);
  Insert(object, objects);
}

void ConfigurationObjects::SetDocument(const proto::Document& changed) {
  bytes -= document.ByteSizeLong();
  document = changed;
  bytes += document.ByteSizeLong();
}

void ConfigurationObjects::Apply(const proto::ConfigurationChange& change) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      return Set(change.set_route(), &routes);
    case proto::ConfigurationChange::kRemoveRoute:
      return Remove(change.remove_route(), &routes);
    case proto::ConfigurationChange::kSetZone:
      return Set(change.set_zone(), &zones);
    case proto::ConfigurationChange::kEnsureZone:
      return Insert(change.ensure_zone(), &zones);
    case proto::ConfigurationChange::kRemoveZone:
      return Remove(change.remove_zone(), &zones);
    case proto::ConfigurationChange::kSetTenant:
      return Set(change.set_tenant(), &tenants);
    case proto::ConfigurationChange::kRemoveTenant:
      return Remove(change.remove_tenant(), &tenants);
    case proto::ConfigurationChange::kSetBackend:
      return Set(change.set_backend(), &backends);
    case proto::ConfigurationChange::kRemoveBackend:
      return Remove(change.remove_backend(), &backends);
    case proto::ConfigurationChange::kSetBatch:
      batch = change.set_batch();
      return;
    case proto::ConfigurationChange::kSetDocument:
      return SetDocument(change.set_document());
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
    Insert(route, &routes);
  }
  for (const proto::Zone& zone : configuration.zones()) {
    Insert(zone, &zones);
  }
  for (const proto::Tenant& tenant : configuration.tenants()) {
    Insert(tenant, &tenants);
  }
  for (const proto::Backend& backend : configuration.backends()) {
    Insert(backend, &backends);
  }
  batch = configuration.batch();
  SetDocument(configuration.document());
}

}  // namespace cloverbank

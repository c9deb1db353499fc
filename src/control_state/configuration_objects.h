#pragma once
/// @file
/// Holds the objects of the routing configuration by name and applies changes to them. Part of
/// `ControlState`; deterministic. Applying a change takes logarithmic time, because there may be
/// tens of thousands of tenants.

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "proto/configuration.pb.h"

namespace cloverbank {

enum class ConfigurationObjectKind : std::uint8_t {
  kNone,
  kRoute,
  kZone,
  kTenant,
  kBatch,
  kBackend,
  kDocument,
};

/// Identifies the object that a change sets or removes. If two changes have the same key, the later
/// one takes effect.
struct ConfigurationObjectKey {
  ConfigurationObjectKind kind = ConfigurationObjectKind::kNone;
  std::string name;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the 0 in `a < b`.
  auto operator<=>(const ConfigurationObjectKey&) const = default;
  /// @return a description for messages, such as: route "x".
  std::string ToString() const;
};

/// @return the key of the object that `change` sets or removes; `kNone` for an empty change.
ConfigurationObjectKey ObjectKeyFor(const proto::ConfigurationChange& change);

/// The current objects. Names are the keys of the maps.
struct ConfigurationObjects {
  std::map<std::string, proto::Route> routes;
  std::map<std::string, proto::Zone> zones;
  std::map<std::string, proto::Tenant> tenants;
  std::map<std::string, proto::Backend> backends;
  proto::BatchSettings batch;
  proto::Document document;
  /// Serialized size in bytes of everything but the batch settings; `Apply` and `Load` keep it up
  /// to date.
  std::size_t bytes = 0;

  /// Sets or removes one object. The change must have been validated.
  void Apply(const proto::ConfigurationChange& change);
  /// @return the full configuration, sorted by name, without version and label.
  proto::RoutingConfiguration ToProto() const;
  /// Replaces all objects by those of `configuration`.
  void Load(const proto::RoutingConfiguration& configuration);

 private:
  /// Adds `object` unless an object with its name exists.
  template <typename Object>
  void Insert(const Object& object, std::map<std::string, Object>* objects);
  template <typename Object>
  void Remove(const std::string& name, std::map<std::string, Object>* objects);
  /// Adds `object` or replaces the one with its name.
  template <typename Object>
  void Set(const Object& object, std::map<std::string, Object>* objects);
  void SetDocument(const proto::Document& changed);
};

}  // namespace cloverbank

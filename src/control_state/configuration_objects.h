#pragma once
/// @file
/// The objects of the routing configuration by name, and the application of one change to them.
/// Maps, so that tens of thousands of tenants cost a logarithm a change.

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

/// Which object a change is about: two changes of the same key replace one another.
struct ConfigurationObjectKey {
  ConfigurationObjectKind kind = ConfigurationObjectKind::kNone;
  std::string name;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the 0 in `a < b`.
  auto operator<=>(const ConfigurationObjectKey&) const = default;
  /// "route \"x\"", for people.
  std::string ToString() const;
};

ConfigurationObjectKey ObjectKeyFor(const proto::ConfigurationChange& change);

struct ConfigurationObjects {
  std::map<std::string, proto::Route> routes;
  std::map<std::string, proto::Zone> zones;
  std::map<std::string, proto::Tenant> tenants;
  std::map<std::string, proto::Backend> backends;
  proto::BatchSettings batch;
  proto::Document document;
  /// Serialized size of everything but the batch settings; kept by `Apply` and `Load`.
  std::size_t bytes = 0;

  /// Sets or removes one object. The change must have been validated.
  void Apply(const proto::ConfigurationChange& change);
  /// @return the whole configuration, sorted by name, without a version.
  proto::RoutingConfiguration ToProto() const;
  void Load(const proto::RoutingConfiguration& configuration);

 private:
  /// Adds `object` unless there is one of its name.
  template <typename Object>
  void Insert(const Object& object, std::map<std::string, Object>* objects);
  template <typename Object>
  void Remove(const std::string& name, std::map<std::string, Object>* objects);
  template <typename Object>
  void Set(const Object& object, std::map<std::string, Object>* objects);
  void SetDocument(const proto::Document& changed);
};

}  // namespace cloverbank

#pragma once
/// @file
/// Pure core: a node's copy of the routing configuration, kept current by updates from the
/// coordinators. Its version never goes back. Threads: the owner's event loop only.

#include <cstdint>
#include <string_view>

#include "base/ids.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// What became of an offered update.
enum class UpdateOutcome : std::uint8_t {
  kNothing,  ///< It holds nothing that is not held already.
  kApplied,  ///< The copy is now newer.
  kGap,      ///< A delta from another version than the held one: the whole is asked for next.
  kOlder,    ///< It would go back; refused.
};

/// @return the name of `outcome` in metrics; stable.
std::string_view UpdateOutcomeName(UpdateOutcome outcome);

/// Applies one change to `configuration`, keeping lists sorted by name. The version is left alone.
/// @return false if the change names nothing this program knows.
bool ApplyChange(const proto::ConfigurationChange& change,
                 proto::RoutingConfiguration* configuration);

class ConfigurationWatch {
 public:
  const proto::RoutingConfiguration& configuration() const { return configuration_; }
  ConfigurationVersion version() const { return ConfigurationVersion(configuration_.version()); }
  /// @return the version to report in the next heartbeat; 0 asks for the whole configuration.
  ConfigurationVersion VersionToReport() const;

  UpdateOutcome Apply(const proto::ConfigurationUpdate& update);
  /// The leader had nothing newer than what was reported to it.
  void HandleNoUpdate() { full_update_needed_ = false; }

 private:
  UpdateOutcome ApplyFull(const proto::RoutingConfiguration& full);
  UpdateOutcome ApplyDelta(const proto::ConfigurationUpdate& update);

  proto::RoutingConfiguration configuration_;
  bool full_update_needed_ = false;
};

}  // namespace cloverbank

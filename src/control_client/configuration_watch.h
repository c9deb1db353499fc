#pragma once
/// @file
/// Pure core: a node's copy of the routing configuration, kept current by updates from the
/// coordinators. Its version never decreases. Threads: the owner's event loop only.

#include <cstdint>
#include <string_view>

#include "base/ids.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// Result of an offered update.
enum class UpdateOutcome : std::uint8_t {
  kUnchanged,  ///< It contains nothing new.
  kApplied,    ///< The copy is now newer.
  kGap,        ///< A delta from another version: a full update is requested next.
  kOlder,      ///< Its version is lower; refused.
};

/// @return the name of `outcome` in metrics; stable.
std::string_view UpdateOutcomeName(UpdateOutcome outcome);

/// Applies one change to `configuration`, keeping lists sorted by name. Does not change the
/// version.
/// @return false if the change is of a kind that this program does not know.
bool ApplyChange(const proto::ConfigurationChange& change,
                 proto::RoutingConfiguration* configuration);

class ConfigurationWatch {
 public:
  const proto::RoutingConfiguration& configuration() const { return configuration_; }
  ConfigurationVersion version() const { return ConfigurationVersion(configuration_.version()); }
  /// @return the version to report in the next heartbeat; 0 requests a full update.
  ConfigurationVersion VersionToReport() const;

  UpdateOutcome Apply(const proto::ConfigurationUpdate& update);
  /// The leader has nothing newer than the reported version.
  void HandleNoUpdate() { full_update_needed_ = false; }

 private:
  UpdateOutcome ApplyFull(const proto::RoutingConfiguration& full);
  UpdateOutcome ApplyDelta(const proto::ConfigurationUpdate& update);

  proto::RoutingConfiguration configuration_;
  bool full_update_needed_ = false;
};

}  // namespace cloverbank

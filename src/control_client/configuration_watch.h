#pragma once
/// @file
/// A node's copy of the routing configuration, kept current by updates from the coordinators. The
/// version of the copy never decreases. Performs no I/O and reads no clock. Threads: the owner's
/// event loop only.

#include <cstdint>
#include <string_view>

#include "base/ids.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// Result of applying an update from the coordinators.
enum class UpdateOutcome : std::uint8_t {
  kUnchanged,  ///< The update has the version of the copy.
  kApplied,    ///< The copy now has the version of the update.
  kGap,        ///< Refused: a delta that does not start at the version of the copy, or that has a
               ///< change unknown to this program. The next heartbeat requests a full update.
  kOlder,      ///< Refused: the update has a lower version than the copy.
};

/// @return the name of `outcome` as a metric label. These names must stay stable.
std::string_view UpdateOutcomeName(UpdateOutcome outcome);

/// Applies one change to `configuration` and keeps its lists sorted by name. Does not change the
/// version.
/// @return false if this program does not know the kind of the change; `configuration` is then
/// unchanged.
bool ApplyChange(const proto::ConfigurationChange& change,
                 proto::RoutingConfiguration* configuration);

/// Applies full and delta updates to one copy of the configuration, initially at version 0.
class ConfigurationWatch {
 public:
  const proto::RoutingConfiguration& configuration() const { return configuration_; }
  ConfigurationVersion version() const { return ConfigurationVersion(configuration_.version()); }
  /// @return the version to report in the next heartbeat: that of the copy, or 0 to request a full
  /// update.
  ConfigurationVersion VersionToReport() const;

  /// Applies `update` completely or not at all.
  UpdateOutcome Apply(const proto::ConfigurationUpdate& update);
  /// Handles a heartbeat response without an update: the leader has nothing newer than the reported
  /// version.
  void HandleNoUpdate() { full_update_needed_ = false; }

 private:
  UpdateOutcome ApplyFull(const proto::RoutingConfiguration& full);
  UpdateOutcome ApplyDelta(const proto::ConfigurationUpdate& update);

  proto::RoutingConfiguration configuration_;
  bool full_update_needed_ = false;
};

}  // namespace cloverbank

#pragma once
/// @file
/// A node's view of queue nodes, backups and partition owners, kept current by updates from the
/// coordinators. The version of the view never decreases. Performs no I/O and reads no clock.
/// Threads: the owner's event loop only.

#include "control_client/configuration_watch.h"
#include "control_client/fleet_view.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Applies full and delta updates to one fleet view, initially at version 0.
class FleetWatch {
 public:
  const FleetView& view() const { return view_; }
  /// @return the version to report in the next heartbeat: that of the view, or 0 to request a full
  /// update.
  FleetVersion VersionToReport() const;

  /// Applies `update` completely or not at all. An update from version 0 replaces the whole view.
  UpdateOutcome Apply(const proto::FleetUpdate& update);

 private:
  /// Adds, replaces or removes the servers and partitions that `update` lists.
  void Merge(const proto::FleetUpdate& update);

  FleetView view_;
  bool full_update_needed_ = false;
};

}  // namespace cloverbank

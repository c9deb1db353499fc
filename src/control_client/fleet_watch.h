#pragma once
/// @file
/// Pure core: a node's view of queue nodes, backups and partition owners, kept current by updates
/// from the coordinators. Its version never decreases. Threads: the owner's event loop only.

#include "control_client/configuration_watch.h"
#include "control_client/fleet_view.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class FleetWatch {
 public:
  const FleetView& view() const { return view_; }
  /// @return the version to report in the next heartbeat; 0 requests a full update.
  FleetVersion VersionToReport() const;

  UpdateOutcome Apply(const proto::FleetUpdate& update);

 private:
  void Merge(const proto::FleetUpdate& update);

  FleetView view_;
  bool full_update_needed_ = false;
};

}  // namespace cloverbank

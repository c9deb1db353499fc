#pragma once
/// @file
/// Pure core: a node's view of the store machines and partition owners. Its version never goes
/// back. Threads: the owner's event loop only.

#include "control_client/configuration_watch.h"
#include "control_client/fleet_view.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class FleetWatch {
 public:
  const FleetView& view() const { return view_; }
  /// @return the version to report in the next heartbeat; 0 asks for the whole lists.
  FleetVersion VersionToReport() const;

  UpdateOutcome Apply(const proto::FleetUpdate& update);

 private:
  void Merge(const proto::FleetUpdate& update);

  FleetView view_;
  bool full_update_needed_ = false;
};

}  // namespace cloverbank

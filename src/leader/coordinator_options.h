#pragma once
/// @file
/// Timing and limits of the leader.

#include <cstdint>

#include "base/time.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

struct CoordinatorOptions {
  /// Lease that a heartbeat renews. The node counts it from when it sent the heartbeat.
  Duration node_lease = seconds(3);
  /// Time without a heartbeat after which a queue node or backup is declared dead and a gateway
  /// forgotten, once its lease has expired.
  Duration death_after = seconds(3);
  /// Longest time a heartbeat stays pending. Must be well below the lease.
  Duration maximum_heartbeat_wait = milliseconds(800);
  /// Interval of the leader's periodic step; it also runs after each applied command.
  Duration tick = milliseconds(50);
  /// Deadline of calls to backups and queue nodes.
  Duration call_deadline = seconds(2);
  /// Partitions are assigned once no queue node has registered for this long ...
  Duration arrival_quiet = milliseconds(700);
  /// ... or this long after there were both a partition to assign and a node for it.
  Duration maximum_arrival_wait = seconds(2);
  /// Interval between sweeps of a backup for leftover segments.
  Duration sweep_interval = seconds(5);
  /// The same for a backup that is being retired.
  Duration retiring_sweep_interval = seconds(1);
  /// Store backups below which the fleet is reported as degraded.
  std::uint32_t wanted_store_backups = 3;
  /// Store machines that must remain for one to be retired.
  std::uint32_t fewest_stores = 1;
  /// Voting members below which the coordinator group is reported as degraded.
  std::uint32_t wanted_coordinators = 3;
  RecoveryOptions recovery;
};

}  // namespace cloverbank

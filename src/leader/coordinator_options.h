#pragma once
/// @file
/// Times and limits that the leader of the coordinator group works with.

#include <cstdint>

#include "base/time.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

struct CoordinatorOptions {
  /// Length of the lease that a heartbeat renews. The node measures it from when it sent the
  /// heartbeat.
  Duration node_lease = seconds(3);
  /// Time without a heartbeat after which the leader declares a queue node or backup dead, or
  /// forgets a gateway, once the node's lease has expired.
  Duration death_after = seconds(3);
  /// Longest time that the leader delays the answer to a heartbeat. Must be well below the lease.
  Duration maximum_heartbeat_wait = milliseconds(800);
  /// Interval of the leader's periodic step; it also runs after each applied command.
  Duration tick = milliseconds(50);
  /// Deadline of the leader's calls to other nodes.
  Duration call_deadline = seconds(2);
  /// Partitions are assigned once no queue node has registered for this long ...
  Duration arrival_quiet = milliseconds(700);
  /// ... or this long after there were both a partition to assign and a node for it.
  Duration maximum_arrival_wait = seconds(2);
  /// Interval between sweeps of a backup for leftover segments.
  Duration sweep_interval = seconds(5);
  /// Interval between sweeps of a backup that is being retired.
  Duration retiring_sweep_interval = seconds(1);
  /// With fewer store backups than this, the fleet is reported as degraded.
  std::uint32_t minimum_store_backups = 3;
  /// A store machine can be retired only if at least this many others remain.
  std::uint32_t minimum_store_machines = 1;
  /// With fewer voting members than this, the coordinator group is reported as degraded.
  std::uint32_t minimum_coordinators = 3;
  RecoveryOptions recovery;
};

}  // namespace cloverbank

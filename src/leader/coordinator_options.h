#pragma once
/// @file
/// Times and sizes of the leader's duties.

#include <cstdint>

#include "base/time.h"
#include "leader/recovery_manager.h"

namespace cloverbank {

struct CoordinatorOptions {
  /// How long a node may act on one heartbeat, counted at the node from its sending.
  Duration node_lease = seconds(3);
  /// Silence after which a queue or backup node is dead and a gateway forgotten; never before its
  /// lease has run out.
  Duration death_after = seconds(3);
  /// Longest time a heartbeat is held open. Keep well below the lease.
  Duration heartbeat_hold = milliseconds(800);
  /// How often silence, leases and recoveries are looked at besides every change.
  Duration tick = milliseconds(50);
  /// Deadline of calls to backups and queue nodes.
  Duration call_deadline = seconds(2);
  /// Partitions are given out once no queue node has come for this long ...
  Duration arrival_quiet = milliseconds(700);
  /// ... or this long after the first was ready.
  Duration arrival_longest = seconds(2);
  /// Between looks for leftover segments at a backup.
  Duration sweep_interval = seconds(5);
  /// The same at a backup that is being retired, whose emptying is shown.
  Duration retiring_sweep_interval = seconds(1);
  /// Store backups below which the fleet is called degraded.
  std::uint32_t wanted_store_backups = 3;
  /// Store machines that must remain when one is emptied.
  std::uint32_t fewest_stores = 1;
  /// Members below which the coordinator group is called degraded.
  std::uint32_t wanted_coordinators = 3;
  RecoveryOptions recovery;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Settings of a `RaftNode`.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

struct RaftNodeOptions {
  /// Peer endpoints of the first members, the same list at each.
  std::vector<Endpoint> seeds;
  /// @return endpoints that other parts of this process know as coordinators; may be empty. A
  /// member asks them as well as the seeds, since none of the seeds may be a coordinator by now.
  std::function<std::vector<Endpoint>()> known_coordinators;
  /// Whether seeds that are all empty may bootstrap a new group. True only on the first start of
  /// the system: later a member with an empty disk can only join.
  bool can_bootstrap = true;
  /// Number of voters in a full group; the number of seeds, if that is larger. A group needs 2n + 1
  /// voters to tolerate n failures at once.
  std::size_t wanted_voters = 0;
  /// See `RaftCoreOptions`. If this is zero, a joining seed replaces a member that is not a seed;
  /// if not, no member is replaced for that reason, since the list of seeds may be outdated.
  Duration replace_unresponsive_after{};
  /// Shortest election timeout; the longest is twice that.
  Duration election_timeout = milliseconds(400);
  Duration heartbeat_interval = milliseconds(100);
  /// A snapshot is taken after this many log entries or bytes of commands.
  std::uint64_t snapshot_threshold_entries = 10000;
  std::uint64_t snapshot_threshold_bytes = 4U << 20U;
  /// Number of entries before a snapshot that stay in the log, so that a slow member needs no
  /// snapshot.
  std::uint64_t trailing_entries = 512;
  /// Limit of the number of entries in one message.
  std::size_t maximum_append_entries = 1024;
  /// Limit of the snapshot data in one message, in bytes.
  std::size_t snapshot_chunk_bytes = 256U << 10U;
  /// Runs once when the member has stopped after a fatal error (a failed sync, damaged state). It
  /// then neither answers nor leads; the process should end. A full disk is not fatal: the member
  /// neither leads nor votes until there is space.
  std::function<void(const Status&)> on_fatal;
};

}  // namespace cloverbank

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
  /// Whether seeds that are all empty may found a new group. False on every start but the first of
  /// the whole system: an empty disk then only ever joins.
  bool may_found = true;
  /// Voters of a complete group, if more than there are seeds. A group that is to bear n losses at
  /// once needs 2n + 1.
  std::size_t wanted_voters = 0;
  /// See `RaftCoreOptions`. If set, seeds say nothing of who is to be replaced: they may lag.
  Duration replace_unresponsive_after{};
  /// Shortest silence of the leader after which another is elected; the longest is twice that.
  Duration election_timeout = milliseconds(400);
  Duration heartbeat_interval = milliseconds(100);
  /// A snapshot is taken after this many commands or bytes of commands.
  std::uint64_t snapshot_threshold_entries = 10000;
  std::uint64_t snapshot_threshold_bytes = 4U << 20U;
  /// Commands before a snapshot that are kept, so that a slow member needs no snapshot.
  std::uint64_t trailing_entries = 512;
  /// Most commands in one message.
  std::size_t maximum_append_entries = 1024;
  /// Size of one message of a snapshot.
  std::size_t snapshot_chunk_bytes = 256U << 10U;
  /// Runs once when the member can not go on (a failed sync, damaged state). The node then answers
  /// nobody and leads nothing; the process should end. A full disk is no such case: the member
  /// leads nothing and votes for nobody until there is room.
  std::function<void(const Status&)> on_fatal;
};

}  // namespace cloverbank

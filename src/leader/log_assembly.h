#pragma once
/// @file
/// Decides whether the backups that answered have the complete log of a dead node, and which
/// replicas of each segment may be read. Does no I/O. Implements step 3 of "Recovery" on the
/// RAMCloud page, except that the head is found by its committed epoch and backups instead of only
/// by the longest replica (docs/DESIGN.md section 5).
///
/// A replica of the head is usable if it has the committed epoch and is on one of the backups
/// committed with that epoch, or if it has a later epoch. A later epoch was not committed, so the
/// owner acknowledged nothing in it, but its replicas contain everything written before. A
/// restarted backup is recognised by its disk id.
///
/// A replica of another segment in the digest is usable if it is closed. If the owner died before
/// it closed the segment before the head, the replicas of that segment are selected by the epoch
/// and backups that were committed while it was the head.

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control_state/partition_table.h"
#include "control_state/server_registry.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// Segments of the dead node that each backup stores, by the backup's node id.
using StoredSegments = std::map<NodeId, proto::StartReadingDataResponse>;

/// A segment and the backups from which it can be read.
struct AssembledSegment {
  SegmentId segment;
  std::vector<NodeId> backups;  ///< Each has a usable replica of the greatest length.
};

/// The log of a dead node, as far as the backups that answered have it.
struct AssembledLog {
  /// Segments in log order, the head last. Only valid if nothing is missing.
  std::vector<AssembledSegment> segments;
  /// Human-readable descriptions of the segments without a usable replica.
  std::vector<std::string> missing;
  bool complete() const { return missing.empty(); }
};

/// Assembles the log of the dead node with the committed `heads`.
/// @param stored_segments what the backups that have answered so far store.
/// @param servers registry in which the backups are looked up, by disk and by machine.
AssembledLog AssembleLog(const LogHeads& heads, const StoredSegments& stored_segments,
                         const ServerRegistry& servers);

}  // namespace cloverbank

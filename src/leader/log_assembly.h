#pragma once
/// @file
/// Decides whether the backups that answered have the complete log of a dead node, and which
/// replicas of each segment may be read. Pure. RAMCloud page, "Recovery" step 3, with the committed
/// head instead of the longest replica alone (docs/DESIGN.md section 5).
///
/// Replicas of the head are usable if they have its committed epoch and are on the backups
/// committed with it, or if they have a later epoch: that one was not committed, so nothing was
/// acknowledged in it, but its replicas contain everything written before. A restarted backup is
/// recognised by its disk id. Replicas of other segments in the digest are usable once closed. If
/// the owner died before it closed the segment before the head, that segment's replicas are judged
/// by the epoch committed while it was the head.

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

struct AssembledSegment {
  SegmentId segment;
  std::vector<NodeId> backups;  ///< Each has a replica of full length.
};

struct AssembledLog {
  /// Segments in log order; meaningful only when nothing is missing.
  std::vector<AssembledSegment> segments;
  /// Descriptions, for people, of the segments without a usable replica.
  std::vector<std::string> missing;
  bool complete() const { return missing.empty(); }
};

/// @param stored_segments of the backups so far.
AssembledLog AssembleLog(const LogHeads& heads, const StoredSegments& stored_segments,
                         const ServerRegistry& servers);

}  // namespace cloverbank

#pragma once
/// @file
/// Decides whether the backups that answered hold a dead node's whole log, and which copy of each
/// segment may be read. Pure. RAMCloud page, "Recovery" step 3, with the committed head in place of
/// "longest copy wins" alone (docs/DESIGN.md section 5).
///
/// The head counts only in copies of its committed epoch on the backups committed with it, or of a
/// later epoch: that one was not committed, so nothing was acknowledged under it, but its copies
/// hold everything that was before. A backup is known again after a restart by its disk id. Other
/// segments of the digest count in copies their owner closed. The segment before the head may have
/// lost its owner just before it was closed; it then counts by the epoch that was committed while
/// it was the head.

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control_state/partition_table.h"
#include "control_state/server_registry.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// What each backup (by node id) said it stores of the dead node.
using StoredSegments = std::map<NodeId, proto::StartReadingDataResponse>;

struct AssembledSegment {
  SegmentId segment;
  std::vector<NodeId> backups;  ///< Each holds a full copy.
};

struct AssembledLog {
  /// Segments in log order; meaningful only when nothing is missing.
  std::vector<AssembledSegment> segments;
  /// In words, one entry a segment that has no usable copy yet.
  std::vector<std::string> missing;
  bool complete() const { return missing.empty(); }
};

AssembledLog AssembleLog(const LogHeads& heads, const StoredSegments& answers,
                         const ServerRegistry& servers);

}  // namespace cloverbank

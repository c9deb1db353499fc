#pragma once
/// @file
/// Compares, at an interval for each backup, the replicas that the backup lists with those that the
/// log counts on it. Lost replicas no longer count; leftover ones are freed.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <map>
#include <memory>
#include <set>

#include "base/ids.h"
#include "log_writer/log_context.h"
#include "log_writer/segment_repairer.h"

namespace cloverbank {

class SegmentAudit : public std::enable_shared_from_this<SegmentAudit> {
 public:
  SegmentAudit(LogContext& context, std::shared_ptr<SegmentRepairer> repairer)
      : context_(context), repairer_(std::move(repairer)) {}

  /// Sends ListSegments to the backups whose interval has passed.
  /// @param head the first segment that may be open.
  void Advance(SegmentId head);

 private:
  /// @param head, expected the head, and the closed segments counted on `backup`, at the request.
  void HandleAnswer(NodeId backup, SegmentId head, const std::set<SegmentId>& expected,
                    const proto::ListSegmentsResponse& listed);
  /// @param found the segments of this log that `backup` listed.
  void RecordLostReplicas(NodeId backup, const std::set<SegmentId>& expected,
                          const std::set<SegmentId>& found);
  void FreeLeftoverReplicas(NodeId backup, SegmentId head, const std::set<SegmentId>& found);

  LogContext& context_;
  std::shared_ptr<SegmentRepairer> repairer_;
  std::map<NodeId, TimePoint> next_audit_;  ///< Earliest time, by backup.
};

}  // namespace cloverbank

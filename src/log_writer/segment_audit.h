#pragma once
/// @file
/// Compares what backups have with what the log counts on, one backup an interval: replicas that
/// are gone no longer count, and replicas that nothing counts on are freed.
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

  /// Asks the backups that are due for their segments. @param head the segment from which on they
  /// are open.
  void Advance(SegmentId head);

 private:
  void HandleAnswer(NodeId backup, SegmentId head, const std::set<SegmentId>& expected,
                    const proto::ListSegmentsResponse& listed);
  void RecordLostReplicas(NodeId backup, const std::set<SegmentId>& expected,
                          const std::set<SegmentId>& found);
  void FreeLeftoverReplicas(NodeId backup, SegmentId head, const std::set<SegmentId>& found);

  LogContext& context_;
  std::shared_ptr<SegmentRepairer> repairer_;
  std::map<NodeId, TimePoint> next_audit_;  ///< By backup.
};

}  // namespace cloverbank

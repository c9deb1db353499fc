#pragma once
/// @file
/// Compares the replicas that backups list with those that the log counts on, each backup once an
/// interval: lost replicas no longer count, leftover ones are freed.
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

  /// Sends ListSegments to the backups that are due. @param head the first segment that may be
  /// open.
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

#pragma once
/// @file
/// Answers gateways that acquire batch items or report on them. Refuses kUnavailable without the
/// node's lease.
///
/// Threads: the owner's event loop only.

#include "queue/partition_ownership.h"
#include "work_dispatch/work_dispatcher.h"

namespace cloverbank {

class WorkRequestHandler {
 public:
  WorkRequestHandler(const PartitionOwnership& ownership, WorkDispatcher& dispatcher);

  /// As `WorkDispatcher::Acquire`.
  void Acquire(const proto::AcquireWorkRequest& request, const WorkDispatcher::AcquireReply& reply);
  /// As `WorkDispatcher::Report`.
  void Report(const proto::ReportWorkRequest& request, const WorkDispatcher::ReportReply& reply);

 private:
  const PartitionOwnership& ownership_;
  WorkDispatcher& dispatcher_;
};

}  // namespace cloverbank

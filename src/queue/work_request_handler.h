#pragma once
/// @file
/// Answers requests of gateways that acquire batch items or report on them. Every request fails
/// with kUnavailable if the node has no valid lease.
///
/// Threads: the owner's event loop only; replies run there too.

#include "queue/partition_ownership.h"
#include "work_dispatch/work_dispatcher.h"

namespace cloverbank {

class WorkRequestHandler {
 public:
  WorkRequestHandler(const PartitionOwnership& ownership, WorkDispatcher& dispatcher);

  /// Calls `WorkDispatcher::Acquire`.
  void Acquire(const proto::AcquireWorkRequest& request, const WorkDispatcher::AcquireReply& reply);
  /// Calls `WorkDispatcher::Report`.
  void Report(const proto::ReportWorkRequest& request, const WorkDispatcher::ReportReply& reply);

 private:
  const PartitionOwnership& ownership_;
  WorkDispatcher& dispatcher_;
};

}  // namespace cloverbank

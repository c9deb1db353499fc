#pragma once
/// @file
/// Answers requests for batches of the partitions that this queue node owns: submission, status,
/// lists and cancellation. Each refuses kUnavailable without the node's lease and kConflict
/// (`MakeNotOwnerStatus`) for a partition of another owner.
///
/// Threads: the owner's event loop only.

#include <functional>

#include "proto/batch.pb.h"
#include "queue/batch_intake.h"
#include "queue/partition_ownership.h"
#include "work_dispatch/work_dispatcher.h"

namespace cloverbank {

class BatchRequestHandler {
 public:
  template <typename Response>
  using Reply = std::function<void(Result<Response>)>;

  BatchRequestHandler(const PartitionOwnership& ownership, BatchIntake& intake,
                      WorkDispatcher& dispatcher);

  /// Errors as of `BatchIntake::Submit`.
  void Submit(const proto::SubmitBatchRequest& request,
              const Reply<proto::SubmitBatchResponse>& reply);
  /// kNotFound if there is no such batch.
  void Get(const proto::GetBatchRequest& request, const Reply<proto::GetBatchResponse>& reply);
  /// Errors as of `BatchStore::ListBatches`.
  void ListBatches(const proto::ListBatchesRequest& request,
                   const Reply<proto::ListBatchesResponse>& reply);
  /// Errors as of `BatchStore::ListResults`.
  void ListResults(const proto::ListResultsRequest& request,
                   const Reply<proto::ListResultsResponse>& reply);
  /// kNotFound for an item that has its result or does not exist.
  void GetItem(const proto::GetItemRequest& request, const Reply<proto::GetItemResponse>& reply);
  /// Errors as of `WorkDispatcher::Cancel`.
  void Cancel(const proto::CancelBatchRequest& request,
              const Reply<proto::CancelBatchResponse>& reply);

 private:
  const PartitionOwnership& ownership_;
  BatchIntake& intake_;
  WorkDispatcher& dispatcher_;
};

}  // namespace cloverbank

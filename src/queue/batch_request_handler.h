#pragma once
/// @file
/// Answers requests about batches in the partitions that this queue node owns: submission, status,
/// lists and cancellation. Every request fails with kUnavailable if the node has no valid lease,
/// and with kConflict (`MakeNotOwnerStatus`) if the node does not own the partition.
///
/// Threads: the owner's event loop only; replies run there too.

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

  BatchRequestHandler(Environment& environment, const NodeAgent& agent,
                      const PartitionOwnership& ownership, BatchIntake& intake,
                      WorkDispatcher& dispatcher);

  /// Other errors: those of `BatchIntake::Submit`.
  void Submit(const proto::SubmitBatchRequest& request,
              const Reply<proto::SubmitBatchResponse>& reply);
  /// Other errors: those of `BatchIntake::FindSubmission`.
  void FindSubmission(const proto::SubmitBatchRequest& request,
                      const Reply<proto::SubmitBatchResponse>& reply);
  /// Fails with kNotFound if the partition has no such batch.
  void Get(const proto::GetBatchRequest& request, const Reply<proto::GetBatchResponse>& reply);
  /// Other errors: those of `BatchStore::ListBatches`.
  void ListBatches(const proto::ListBatchesRequest& request,
                   const Reply<proto::ListBatchesResponse>& reply);
  /// Other errors: those of `BatchStore::ListResults`.
  void ListResults(const proto::ListResultsRequest& request,
                   const Reply<proto::ListResultsResponse>& reply);
  /// Fails with kNotFound if the item already has its result or does not exist.
  void GetItem(const proto::GetItemRequest& request, const Reply<proto::GetItemResponse>& reply);
  /// Other errors: those of `WorkDispatcher::Cancel`.
  void Cancel(const proto::CancelBatchRequest& request,
              const Reply<proto::CancelBatchResponse>& reply);

 private:
  /// Counts a read from a position after the batch's last result.
  void CountIfBeyondEnd(const StoredBatch& batch, const std::string& cursor);

  Environment& environment_;
  const NodeAgent& agent_;
  const PartitionOwnership& ownership_;
  BatchIntake& intake_;
  WorkDispatcher& dispatcher_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Cancels batches: logs the cancellation at once, and its completion when no item of the batch can
/// be running any more. Completion gives every item without a result the outcome cancelled.
///
/// Threads: the owner's event loop only. Created by `std::make_shared`.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/ids.h"
#include "batches/owned_partition.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "work_dispatch/unknown_items.h"
#include "work_dispatch/work_leases.h"
#include "work_dispatch/work_queue.h"

namespace cloverbank {

class BatchCanceller : public std::enable_shared_from_this<BatchCanceller> {
 public:
  using Reply = std::function<void(Result<proto::CancelBatchResponse>)>;

  BatchCanceller(Environment& environment, std::shared_ptr<WorkQueue> queue,
                 std::shared_ptr<const WorkLeases> leases,
                 std::shared_ptr<const UnknownItems> unknown_items);

  /// Adds a partition that this node owns from now on. Its cancellations complete only after
  /// `kWorkLeaseTimeout`, when the leases that its previous owner granted have expired.
  void AddPartition(PartitionId partition);
  /// Removes the partition and its incomplete cancellations.
  void RemovePartition(PartitionId partition);
  /// Adds a batch that is cancelled but still has items without a result.
  void AddIncomplete(const BatchKey& batch) { incomplete_.insert(batch); }
  /// Removes a batch, because every item of it has a result now.
  void RemoveIncomplete(const BatchKey& batch) { incomplete_.erase(batch); }

  /// Logs the cancellation of a batch. `reply` gets the batch's status once the cancellation is
  /// durable; from then on no item of the batch is granted. If the batch is cancelled already, or
  /// every item has a result, `reply` gets its status at once. Errors: kNotFound if there is no
  /// such batch; kUnknownOutcome if the batch was removed or this object destroyed meanwhile; those
  /// of `OwnedPartition::AppendEntries`.
  void Cancel(const std::shared_ptr<OwnedPartition>& partition, const std::string& batch_id,
              const Reply& reply);
  /// Logs the completion of every cancellation that can complete. Call it at each tick.
  void CompleteDue();

 private:
  void HandleCancelled(const OwnedPartition& partition, const std::string& batch_id);
  bool CanComplete(const BatchKey& batch) const;
  void LogCompletion(const BatchKey& batch);
  void HandleCompletionLogged(const BatchKey& batch, const Status& status);

  Environment& environment_;
  std::shared_ptr<WorkQueue> queue_;
  std::shared_ptr<const WorkLeases> leases_;
  std::shared_ptr<const UnknownItems> unknown_items_;
  /// When the leases of the partition's previous owner have expired.
  std::map<PartitionId, TimePoint> completion_allowed_from_;
  std::set<BatchKey> incomplete_;  ///< Cancelled batches that have items without a result.
  std::set<BatchKey> completing_;  ///< Batches whose completion is being logged.
};

}  // namespace cloverbank

#pragma once
/// @file
/// Cancellation of batches: logs the cancellation at once, and its completion when no item of the
/// batch can be running any more. Completion gives every item without a result the outcome
/// cancelled.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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

  /// Cancellations of the partition complete only after its last owner's leases have run out.
  void AddPartition(PartitionId partition);
  void RemovePartition(PartitionId partition);
  /// Adds a batch that is cancelled but has items without a result.
  void AddIncomplete(const BatchKey& batch) { incomplete_.insert(batch); }
  /// Every item of the batch has a result.
  void RemoveIncomplete(const BatchKey& batch) { incomplete_.erase(batch); }

  /// Answers when the cancellation is logged: from then on nothing of the batch is granted.
  /// kNotFound if there is no such batch; else as `OwnedPartition::Log`.
  void Cancel(const std::shared_ptr<OwnedPartition>& partition, const std::string& batch_id,
              const Reply& reply);
  /// Completes the cancellations that can be; call it at each tick.
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
  std::map<PartitionId, TimePoint> completion_allowed_from_;
  std::set<BatchKey> incomplete_;
  std::set<BatchKey> completing_;  ///< Their completion is being logged.
};

}  // namespace cloverbank

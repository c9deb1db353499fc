#pragma once
/// @file
/// Dispatches batch items to gateways. One interface over three parts: `WorkGranter` grants items
/// under leases, `WorkReportHandler` records their results, `BatchCanceller` cancels batches. They
/// share the queue of waiting items (`WorkQueue`) and the leases (`WorkLeases`).
///
/// A NOT_RUN report returns an item to the queue even if the item is not idempotent, because it
/// certainly did not run. Its ItemStarted entry stays in the log. If this node dies before the item
/// has a result, the next owner therefore gives the item the outcome unknown: the log proves no
/// more.
///
/// Threads: the owner's event loop only. Created by `std::make_shared`.

#include <memory>
#include <string>

#include "base/ids.h"
#include "batches/owned_partition.h"
#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "work_dispatch/batch_canceller.h"
#include "work_dispatch/unknown_items.h"
#include "work_dispatch/work_granter.h"
#include "work_dispatch/work_leases.h"
#include "work_dispatch/work_queue.h"
#include "work_dispatch/work_report_handler.h"

namespace cloverbank {

class WorkDispatcher {
 public:
  using AcquireReply = WorkGranter::Reply;
  using ReportReply = WorkReportHandler::Reply;
  using CancelReply = BatchCanceller::Reply;

  WorkDispatcher(Environment& environment, NodeAgent& agent);

  /// Queues the partition's waiting items. Items logged as started get a lease of full length,
  /// during which the gateway that runs them may report; after that they are finished as unknown.
  void AddPartition(const std::shared_ptr<OwnedPartition>& partition);
  /// Drops the queued items, leases and cancellations of the partition.
  void RemovePartition(PartitionId partition);
  /// Queues the items of a newly accepted batch.
  void AddBatch(OwnedPartition& partition, const StoredBatch& batch);

  /// See `WorkGranter::Acquire`.
  void Acquire(const proto::AcquireWorkRequest& request, AcquireReply reply);
  /// See `WorkReportHandler::Report`.
  void Report(const proto::ReportWorkRequest& request, ReportReply reply);
  /// See `BatchCanceller::Cancel`.
  void Cancel(const std::shared_ptr<OwnedPartition>& partition, const std::string& batch_id,
              const CancelReply& reply);

  /// Applies the agent's current configuration. Call it when the configuration has changed.
  void OnConfiguration();
  /// Ends dispatch: pending AcquireWork requests fail with kUnavailable.
  void Shutdown();
  /// Ends expired leases, finishes unknown items and items whose route has ended, and completes
  /// cancellations. Call it a few times a second.
  void Tick();

  /// @return the number of current leases.
  std::size_t lease_count() const { return leases_->size(); }

 private:
  /// Grants leases without a gateway on the batch's items that were logged as started.
  void LeaseStartedItems(PartitionId partition, const StoredBatch& batch);

  Environment& environment_;
  std::shared_ptr<WorkQueue> queue_;
  std::shared_ptr<WorkLeases> leases_;
  std::shared_ptr<UnknownItems> unknown_items_;
  std::shared_ptr<BatchCanceller> canceller_;
  std::shared_ptr<WorkGranter> granter_;
  std::shared_ptr<WorkReportHandler> report_handler_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Handles the ReportWork requests of gateways: renews leases, logs results, and returns items that
/// did not run to the queue. Also ends expired leases, and finishes items itself: as unknown when
/// no gateway can report their outcome any more, as failed when their route has ended.
///
/// Threads: the owner's event loop only. Created by `std::make_shared`.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "work_dispatch/batch_canceller.h"
#include "work_dispatch/unknown_items.h"
#include "work_dispatch/work_granter.h"
#include "work_dispatch/work_leases.h"
#include "work_dispatch/work_queue.h"

namespace cloverbank {

class WorkReportHandler : public std::enable_shared_from_this<WorkReportHandler> {
 public:
  using Reply = std::function<void(Result<proto::ReportWorkResponse>)>;

  /// The objects that reports change.
  struct Dependencies {
    std::shared_ptr<WorkQueue> queue;
    std::shared_ptr<WorkLeases> leases;
    std::shared_ptr<UnknownItems> unknown_items;
    std::shared_ptr<WorkGranter> granter;
    std::shared_ptr<BatchCanceller> canceller;
  };

  WorkReportHandler(Environment& environment, Dependencies dependencies);

  /// Renews the request's leases and handles its reports. `reply` runs once every result in the
  /// request is logged. Errors: kConflict (`MakeNotOwnerStatus`) if this node does not own the
  /// partition of some report, and then no report is handled; kUnavailable if another result of an
  /// item is being logged; those of `OwnedPartition::AppendEntries`.
  void Report(const proto::ReportWorkRequest& request, Reply reply);
  /// Ends leases that were not renewed. Their items return to the queue, or become unknown if they
  /// are not idempotent or their batch is cancelled. Call it at each tick.
  void EndExpiredLeases();
  /// Logs the outcome of unknown items. Call it at each tick.
  void LogUnknown();
  /// Logs as failed the items that no gateway holds and that can't run any more, because their
  /// route ended some time ago. Call it at each tick.
  void FinishUnroutable();

 private:
  /// A ReportWork request whose results are being logged.
  struct PendingReport {
    Reply reply;
    proto::ReportWorkResponse response;
    Status status;
    std::size_t pending_logs = 0;  ///< Partitions whose entries are being logged.
  };
  using PendingReportPtr = std::shared_ptr<PendingReport>;

  /// @return kConflict if this node does not own the partition of some report.
  Status CheckReports(const proto::ReportWorkRequest& request) const;
  /// Renews the running leases. Adds to `response` those that ended or whose batch is cancelled.
  void RenewLeases(const proto::ReportWorkRequest& request, proto::ReportWorkResponse* response);
  /// Handles one report. @return the ItemFinished entry to log, if any.
  std::optional<proto::LogEntry> HandleReport(const proto::WorkReport& report,
                                              PendingReport* pending);
  void ReturnItem(const WorkItemKey& item, const proto::WorkReport& report);
  void LogResults(const PendingReportPtr& pending, PartitionId partition,
                  std::vector<proto::LogEntry> entries);
  void HandleResultsLogged(PartitionId partition, const std::vector<WorkItemKey>& items,
                           const Status& status);
  void HandleResultLogged(const WorkItemKey& item);
  /// Logs results that this node itself gives to items in `own_results_being_logged_`.
  void LogOwnResults(PartitionId partition, std::vector<proto::LogEntry> entries);
  void HandleOwnResultsLogged(PartitionId partition, const std::vector<WorkItemKey>& items,
                              const Status& status);
  void FinishUnroutable(const BatchKey& key, const StoredBatch& batch);
  static void Answer(const PendingReportPtr& pending);
  /// Counts and logs a result that became durable after the target time of its batch.
  void RecordLateResult(const StoredBatch& batch) const;
  proto::LogEntry MakeItemFinished(const WorkItemKey& item, proto::ItemOutcome outcome) const;
  proto::LogEntry MakeResult(const WorkItemKey& item, const proto::WorkReport& report) const;

  Environment& environment_;
  std::shared_ptr<WorkQueue> queue_;
  std::shared_ptr<WorkLeases> leases_;
  std::shared_ptr<UnknownItems> unknown_items_;
  std::shared_ptr<WorkGranter> granter_;
  std::shared_ptr<BatchCanceller> canceller_;
  /// Items whose result this node itself is logging: unknown ones and those without a route.
  std::set<WorkItemKey> own_results_being_logged_;
};

}  // namespace cloverbank

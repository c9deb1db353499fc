#pragma once
/// @file
/// Handles ReportWork requests of gateways on leased items: renews leases, logs results, returns
/// items that did not run. Ends expired leases, and finishes items as unknown whose outcome no
/// gateway can report any more.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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

  /// What reports act on.
  struct Dependencies {
    std::shared_ptr<WorkQueue> queue;
    std::shared_ptr<WorkLeases> leases;
    std::shared_ptr<UnknownItems> unknown_items;
    std::shared_ptr<WorkGranter> granter;
    std::shared_ptr<BatchCanceller> canceller;
  };

  WorkReportHandler(Environment& environment, Dependencies dependencies);

  /// Answers when every result in it is logged; kConflict (`MakeNotOwnerStatus`) if any partition
  /// is not owned here, kUnavailable if a result of an item is being logged already.
  void Report(const proto::ReportWorkRequest& request, Reply reply);
  /// Ends leases that were not renewed: their items wait again, or are due as unknown if they must
  /// not repeat. Call it at each tick.
  void EndExpiredLeases();
  /// Finishes items that are due as unknown. Call it at each tick.
  void LogUnknown();

 private:
  /// A ReportWork whose results are being logged.
  struct PendingReport {
    Reply reply;
    proto::ReportWorkResponse response;
    Status status;
    std::size_t pending_logs = 0;
  };
  using PendingReportPtr = std::shared_ptr<PendingReport>;

  Status CheckReports(const proto::ReportWorkRequest& request) const;
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
  void HandleUnknownLogged(PartitionId partition, const std::vector<WorkItemKey>& items,
                           const Status& status);
  static void Answer(const PendingReportPtr& pending);
  /// Records a result that became durable later than its batch was due.
  void RecordLateResult(const StoredBatch& batch) const;
  proto::LogEntry MakeItemFinished(const WorkItemKey& item, proto::ItemOutcome outcome) const;
  proto::LogEntry MakeResult(const WorkItemKey& item, const proto::WorkReport& report) const;

  Environment& environment_;
  std::shared_ptr<WorkQueue> queue_;
  std::shared_ptr<WorkLeases> leases_;
  std::shared_ptr<UnknownItems> unknown_items_;
  std::shared_ptr<WorkGranter> granter_;
  std::shared_ptr<BatchCanceller> canceller_;
  std::set<WorkItemKey> unknown_being_logged_;
};

}  // namespace cloverbank

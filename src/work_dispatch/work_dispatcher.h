#pragma once
/// @file
/// Hands waiting items to gateways under work leases and takes their results in. The choice of
/// items is `FairQueue`'s, the rights are `WorkLeases`'; this service ties them to the log: a start
/// that must not repeat is logged before its grant leaves, a result counts once it is held.
///
/// A NOT_RUN report puts an item back, also one that must not repeat: it is certain that it did not
/// run. Its ItemStarted entry stays in the log, so if this node dies before the item got its
/// result, the next owner gives it the outcome unknown, which is all that the log then proves.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "batches/owned_partition.h"
#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "scheduler/fair_queue.h"
#include "work_dispatch/work_leases.h"

namespace cloverbank {

class WorkDispatcher : public std::enable_shared_from_this<WorkDispatcher> {
 public:
  using AcquireReply = std::function<void(Result<proto::AcquireWorkResponse>)>;
  using ReportReply = std::function<void(Result<proto::ReportWorkResponse>)>;
  using CancelReply = std::function<void(Result<proto::CancelBatchResponse>)>;

  WorkDispatcher(Environment& environment, NodeAgent& agent);

  /// Takes a partition's waiting items up. Items logged as started get the time of a silent lease
  /// for a result to come in from the gateway that runs them, and are then finished as unknown.
  void AddPartition(const std::shared_ptr<OwnedPartition>& partition);
  void RemovePartition(PartitionId partition);
  /// A batch was accepted.
  void AddBatch(OwnedPartition& partition, const StoredBatch& batch);

  /// Answers with grants as soon as there are any, or empty after the request's hold time.
  void Acquire(const proto::AcquireWorkRequest& request, AcquireReply reply);
  /// Answers when every result in it is held; kConflict if any partition is not owned here.
  void Report(const proto::ReportWorkRequest& request, ReportReply reply);
  /// Answers when the cancel is held: from then on nothing of the batch is granted.
  void Cancel(const std::shared_ptr<OwnedPartition>& partition, const std::string& batch_id,
              const CancelReply& reply);

  void OnConfiguration();
  /// This life is over: gateways that wait for work are told so.
  void Shutdown();
  /// Ends silent leases and settles cancelled batches; call it a few times a second.
  void Tick();

  std::size_t leases() const { return leases_.size(); }
  std::size_t waiting_items() const { return queue_.waiting_count(); }

 private:
  using BatchKey = std::pair<PartitionId, std::string>;
  /// A held AcquireWork.
  struct PendingAcquire {
    proto::AcquireWorkRequest request;
    TimePoint arrived;
    AcquireReply reply;
    TimerId timer = 0;
  };
  /// Grants whose starts are being logged.
  struct PendingGrants {
    PendingAcquire pending;
    std::vector<WorkItemKey> items;
    std::size_t logs_under_way = 0;
  };
  using PendingGrantsPtr = std::shared_ptr<PendingGrants>;
  using StartEntries = std::map<PartitionId, std::vector<proto::LogEntry>>;
  /// One ReportWork whose results are being logged.
  struct PendingReport {
    ReportReply reply;
    proto::ReportWorkResponse response;
    Status status;
    std::size_t logs_under_way = 0;
  };
  using PendingReportPtr = std::shared_ptr<PendingReport>;

  // Batches (work_dispatcher.cc).
  /// @return the route of that name in the configuration held, or nullptr.
  const proto::Route* FindRoute(const std::string& name) const;
  std::string BackendOf(const std::string& route) const;
  void Enqueue(OwnedPartition& partition, const StoredBatch& batch);
  void Dequeue(const BatchKey& key);
  void ReturnItem(const WorkItemKey& item);
  const StoredBatch* FindBatch(const WorkItemKey& item) const;
  std::shared_ptr<OwnedPartition> FindPartition(PartitionId partition) const;
  void CompleteCancellations();
  void HandleCancellationLogged(const BatchKey& key, const Status& status);
  bool CanCompleteCancellation(const BatchKey& key) const;

  // Grants (work_grants.cc).
  void ServePending();
  /// Answers some of the questions that were held for long, so that their gateways ask again.
  void WakePending();
  /// Answers such questions of the own zone, or of others, until their room reaches `wanted`.
  std::size_t WakeZone(bool own, std::size_t capacity, std::size_t wanted);
  bool IsFresh(const PendingAcquire& pending) const;
  /// @return the slots of the request for which items wait.
  std::size_t UsableSlots(const proto::AcquireWorkRequest& request) const;
  void ExpirePending(std::list<PendingAcquire>::iterator pending);
  /// @return the items taken for the request, leased.
  std::vector<WorkItemKey> SelectItems(const proto::AcquireWorkRequest& request,
                                       StartEntries* starts);
  bool LeaseItem(const WorkItemKey& item, const proto::AcquireWorkRequest& request,
                 StartEntries* starts);
  void LogStarts(const PendingGrantsPtr& grants, StartEntries* starts);
  void HandleStartsLogged(const PendingGrantsPtr& grants, PartitionId partition,
                          const Status& status);
  void SendGrants(const PendingGrantsPtr& grants);
  bool CanGrant(const WorkItemKey& item) const;
  proto::WorkGrant MakeGrant(const WorkItemKey& item, Duration pending) const;

  // Results (work_results.cc).
  Status CheckReports(const proto::ReportWorkRequest& request) const;
  void Renew(const proto::ReportWorkRequest& request, proto::ReportWorkResponse* response);
  /// Decides one report. @return a result entry to log, or nothing.
  bool HandleReport(const proto::WorkReport& report, PendingReport* pending,
                    proto::LogEntry* entry);
  void LogResults(const PendingReportPtr& pending, PartitionId partition,
                  std::vector<proto::LogEntry> entries);
  void HandleResultsLogged(PartitionId partition, const std::vector<WorkItemKey>& items,
                           const Status& status);
  static void Answer(const PendingReportPtr& pending);
  /// Counts and logs a result that is held later than its batch was due.
  void RecordLateResult(const StoredBatch& batch) const;
  proto::LogEntry MakeFinished(const WorkItemKey& item, proto::ItemOutcome outcome) const;
  void EndExpiredLeases();
  void LogUnknown();

  Environment& environment_;
  NodeAgent& agent_;
  FairQueue queue_;
  WorkLeases leases_;
  std::map<PartitionId, std::shared_ptr<OwnedPartition>> partitions_;
  /// Cancelled batches of a partition are not settled before: leases of the last owner may run.
  std::map<PartitionId, TimePoint> cancellation_allowed_from_;
  std::map<BatchKey, QueuedBatchId> queued_;
  std::map<QueuedBatchId, BatchKey> queued_keys_;
  std::set<BatchKey> incomplete_cancellations_;
  std::set<BatchKey> completing_cancellations_;
  std::list<PendingAcquire> pending_;
  TimePoint next_wake_{};  ///< Before, those that were woken last are waited for.
  bool wake_scheduled_ = false;
  /// Failed runs of items that came back. Not logged: a new owner counts anew.
  std::map<WorkItemKey, std::uint32_t> failed_runs_;
  std::set<WorkItemKey> unknown_due_;  ///< To be finished as unknown.
  std::set<WorkItemKey> unknown_under_way_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// One life of a queue node, from its registration under a node id until that id is dead: its log,
/// the partitions it owns, and what it answers. Everything in it is dropped with the life; the
/// durable part is in the log.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "batches/owned_partition.h"
#include "control_client/node_agent.h"
#include "log_writer/segment_log.h"
#include "proto/batch.pb.h"
#include "proto/log.pb.h"
#include "queue/batch_intake.h"
#include "queue/partition_recovery.h"
#include "runtime/environment.h"
#include "token_quota/token_quota_owner.h"
#include "token_quota/token_reserver.h"
#include "work_dispatch/work_dispatcher.h"

namespace cloverbank {

struct QueueOptions {
  SegmentLogOptions log;
  Duration tick = milliseconds(250);              ///< Between looks at silent leases and cancels.
  Duration retention_sweep = seconds(30);         ///< Between looks for batches to remove.
  Duration default_retention = seconds(604'800);  ///< Where the configuration names none.
};

class QueueNodeIncarnation : public std::enable_shared_from_this<QueueNodeIncarnation> {
 public:
  template <typename Response>
  using Reply = std::function<void(Result<Response>)>;

  QueueNodeIncarnation(Environment& environment, NodeAgent& agent, QueueOptions options,
                       std::function<void(const std::string& reason)> fenced);

  void Start();
  /// Ends it: what waits for the log gets kUnknownOutcome, what waits for work kUnavailable.
  void Stop();
  void OnFleet();
  void OnConfiguration();
  /// Whether some of the log has fewer copies than wanted.
  bool degraded() const { return log_.degraded(); }

  void Submit(const proto::SubmitBatchRequest& request,
              const Reply<proto::SubmitBatchResponse>& reply);
  void Get(const proto::GetBatchRequest& request, const Reply<proto::GetBatchResponse>& reply);
  void ListBatches(const proto::ListBatchesRequest& request,
                   const Reply<proto::ListBatchesResponse>& reply);
  void ListResults(const proto::ListResultsRequest& request,
                   const Reply<proto::ListResultsResponse>& reply);
  void GetItem(const proto::GetItemRequest& request, const Reply<proto::GetItemResponse>& reply);
  void Cancel(const proto::CancelBatchRequest& request,
              const Reply<proto::CancelBatchResponse>& reply);
  void Acquire(const proto::AcquireWorkRequest& request,
               const Reply<proto::AcquireWorkResponse>& reply);
  void Report(const proto::ReportWorkRequest& request,
              const Reply<proto::ReportWorkResponse>& reply);
  void ReserveTokens(const proto::ReserveTokensRequest& request,
                     const Reply<proto::ReserveTokensResponse>& reply);
  void CountOpenTokens(const proto::CountOpenTokensRequest& request,
                       const Reply<proto::CountOpenTokensResponse>& reply);
  void Recover(const proto::RecoverPartitionsRequest& request,
               const Reply<proto::RecoverPartitionsResponse>& reply);

 private:
  /// @return the partition if this node may answer for it now: kUnavailable without the lease,
  /// kConflict (detail `kNotOwnerDetail`) for one it does not own.
  Result<std::shared_ptr<OwnedPartition>> RequireOwnership(std::uint64_t partition_id) const;
  void SyncOwnership();
  /// Gives up replays of the partition from any log but that of `except`: it has another owner, or
  /// is recovered from another log now.
  void DropRecoveries(PartitionId partition, NodeId except);
  void Activate(PartitionId partition);
  void Deactivate(PartitionId partition);
  proto::CountOpenTokensResponse CountOwnTokens(const proto::CountOpenTokensRequest& request);
  std::vector<proto::LogEntry> Watermarks() const;
  void Tick();
  void SweepFinished();
  void ReportLoad();

  Environment& environment_;
  NodeAgent& agent_;
  QueueOptions options_;
  std::function<void(const std::string&)> fenced_;
  std::shared_ptr<ReadLimit> recovery_reads_;
  SegmentLog log_;
  std::shared_ptr<WorkDispatcher> dispatcher_;
  std::shared_ptr<TokenQuotaOwner> quota_owner_;
  std::shared_ptr<TokenReserver> reserver_;
  std::shared_ptr<BatchIntake> intake_;
  std::map<PartitionId, std::shared_ptr<OwnedPartition>> partitions_;
  std::vector<std::shared_ptr<PartitionRecovery>> recoveries_;
  TimePoint swept_at_;
  bool stopped_ = false;
};

}  // namespace cloverbank

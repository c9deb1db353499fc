#pragma once
/// @file
/// One incarnation of a queue node, from its registration under a node id until that id is dead.
/// Creates and connects its components: the log, the owned partitions, recoveries, batch intake,
/// work dispatch, token quotas and retention. Their state is dropped with the incarnation; what is
/// durable is in the log.
///
/// Threads: the owner's event loop only; callbacks run there too. Create it with
/// `std::make_shared`.

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "control_client/node_agent.h"
#include "log_writer/segment_log.h"
#include "queue/batch_intake.h"
#include "queue/batch_request_handler.h"
#include "queue/partition_ownership.h"
#include "queue/recovery_runner.h"
#include "queue/retention_sweeper.h"
#include "queue/token_request_handler.h"
#include "queue/work_request_handler.h"
#include "runtime/environment.h"
#include "token_quota/token_quota_owner.h"
#include "token_quota/token_reserver.h"
#include "work_dispatch/work_dispatcher.h"

namespace cloverbank {

struct QueueOptions {
  SegmentLogOptions log;
  Duration tick_interval = milliseconds(250);     ///< Between checks of leases and cancellations.
  Duration sweep_interval = seconds(30);          ///< Between removals of old finished batches.
  Duration default_retention = seconds(604'800);  ///< Used if the configuration sets none.
};

class QueueNodeIncarnation : public std::enable_shared_from_this<QueueNodeIncarnation> {
 public:
  /// @param on_fenced runs with a reason for logs when a backup or the coordinators reject the
  /// agent's node id as dead.
  QueueNodeIncarnation(Environment& environment, NodeAgent& agent, QueueOptions options,
                       std::function<void(const std::string& reason)> on_fenced);

  /// Opens the log, activates the partitions that the fleet view assigns to this node, and starts
  /// the periodic work.
  void Start();
  /// Ends the incarnation: pending appends fail with kUnknownOutcome, pending AcquireWork requests
  /// with kUnavailable.
  void Stop();
  /// Reacts to a change of the agent's fleet view.
  void OnFleet();
  /// Reacts to a change of the agent's configuration.
  void OnConfiguration();
  /// Whether some log segment has fewer replicas than configured.
  bool degraded() const { return log_.degraded(); }

  BatchRequestHandler& batch_request_handler() { return batch_request_handler_; }
  WorkRequestHandler& work_request_handler() { return work_request_handler_; }
  TokenRequestHandler& token_request_handler() { return token_request_handler_; }
  PartitionOwnership& ownership() { return ownership_; }

 private:
  PartitionOwnership::Observers MakeOwnershipObservers();
  std::shared_ptr<TokenQuotaOwner> MakeQuotaOwner();
  std::shared_ptr<TokenReserver> MakeReserver();
  std::shared_ptr<BatchIntake> MakeIntake();
  /// Runs the periodic work after each `QueueOptions::tick_interval` until `Stop`.
  void ScheduleTick();
  /// Updates the gauges and the load that the agent reports to the coordinators.
  void ReportLoad();

  Environment& environment_;
  NodeAgent& agent_;
  QueueOptions options_;
  SegmentLog log_;
  RecoveryRunner recoveries_;
  PartitionOwnership ownership_;
  std::shared_ptr<WorkDispatcher> dispatcher_;
  std::shared_ptr<TokenQuotaOwner> quota_owner_;
  std::shared_ptr<TokenReserver> reserver_;
  std::shared_ptr<BatchIntake> intake_;
  RetentionSweeper retention_;
  BatchRequestHandler batch_request_handler_;
  WorkRequestHandler work_request_handler_;
  TokenRequestHandler token_request_handler_;
  bool stopped_ = false;
};

}  // namespace cloverbank

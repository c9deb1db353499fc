#include "queue/queue_node_incarnation.h"

#include <algorithm>
#include <set>

#include "base/logging.h"
#include "control_client/batch_partitions.h"

namespace cloverbank {
namespace {

/// Batches removed from one partition in one sweep.
constexpr std::size_t kRemovedPerSweep = 500;
/// Segments read at once for recoveries.
constexpr std::size_t kParallelReads = 4;

}  // namespace

QueueNodeIncarnation::QueueNodeIncarnation(Environment& environment, NodeAgent& agent,
                                           QueueOptions options,
                                           std::function<void(const std::string&)> fenced)
    : environment_(environment),
      agent_(agent),
      options_(options),
      fenced_(std::move(fenced)),
      recovery_reads_(std::make_shared<ReadLimit>(kParallelReads)),
      log_(
          environment, agent, options.log, [this] { return Watermarks(); },
          [this](const std::string& reason) { fenced_(reason); }),
      dispatcher_(std::make_shared<WorkDispatcher>(environment, agent)),
      quota_owner_(
          std::make_shared<TokenQuotaOwner>(environment, agent,
                                            [this](const proto::CountOpenTokensRequest& request) {
                                              return CountOwnTokens(request);
                                            })),
      reserver_(std::make_shared<TokenReserver>(
          environment, agent, quota_owner_,
          [this](PartitionId partition, const std::string& tenant, const std::string& route) {
            const auto owned = partitions_.find(partition);
            return owned == partitions_.end() ? 0 : owned->second->OpenTokens(tenant, route);
          })),
      intake_(std::make_shared<BatchIntake>(
          environment, agent, log_,
          [this](PartitionId partition, const proto::SubmitBatch& batch,
                 const TokenReservation& reservation, std::function<void(Status)> done) {
            reserver_->Reserve(partition, batch, reservation, std::move(done));
          },
          [this](OwnedPartition& partition, const StoredBatch& batch) {
            dispatcher_->AddBatch(partition, batch);
          })) {}

void QueueNodeIncarnation::Start() {
  log_.Start();
  SyncOwnership();
  Tick();
}

void QueueNodeIncarnation::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  log_.Stop();
  dispatcher_->Shutdown();
  for (const auto& [id, partition] : partitions_) {
    partition->Deactivate();
  }
}

void QueueNodeIncarnation::OnFleet() {
  log_.OnFleet();
  if (!stopped_) {
    SyncOwnership();
  }
}

void QueueNodeIncarnation::OnConfiguration() { dispatcher_->OnConfiguration(); }

std::vector<proto::LogEntry> QueueNodeIncarnation::Watermarks() const {
  std::vector<proto::LogEntry> watermarks;
  for (const auto& [id, partition] : partitions_) {
    watermarks.push_back(partition->Watermark());
  }
  for (const auto& recovery : recoveries_) {
    for (proto::LogEntry& watermark : recovery->Watermarks()) {
      watermarks.push_back(std::move(watermark));
    }
  }
  return watermarks;
}

void QueueNodeIncarnation::SyncOwnership() {
  std::set<PartitionId> owned;
  for (const auto& [id, partition] : agent_.fleet().partitions) {
    if (NodeId(partition.owner()) == agent_.node_id() && agent_.node_id().valid()) {
      owned.insert(id);
    } else if (partition.owner() != 0) {
      // A view from before the death still names the dead owner.
      DropRecoveries(id, NodeId(partition.owner()));
    }
  }
  std::vector<PartitionId> lost;
  for (const auto& [id, partition] : partitions_) {
    if (!owned.contains(id)) {
      lost.push_back(id);
    }
  }
  for (const PartitionId id : lost) {
    Deactivate(id);
  }
  for (const PartitionId id : owned) {
    if (!partitions_.contains(id)) {
      Activate(id);
    }
  }
}

void QueueNodeIncarnation::DropRecoveries(PartitionId id, NodeId except) {
  for (const auto& recovery : recoveries_) {
    if (recovery->dead_node() != except) {
      recovery->Drop(id);
    }
  }
  std::erase_if(recoveries_, [](const auto& recovery) { return recovery->Over(); });
}

void QueueNodeIncarnation::Activate(PartitionId id) {
  // Without a recovery it is a partition that was never used: nothing was logged of it anywhere.
  std::unique_ptr<BatchStore> store;
  for (const auto& recovery : recoveries_) {
    store = store == nullptr ? recovery->TakeStore(id) : std::move(store);
  }
  std::erase_if(recoveries_, [](const auto& recovery) { return recovery->Over(); });
  const bool recovered = store != nullptr;
  if (!recovered) {
    store = std::make_unique<BatchStore>();
  }
  auto partition = std::make_shared<OwnedPartition>(id, std::move(store), log_);
  Log(LogLevel::kInfo, "partition_activated",
      {{"partition", id.value()},
       {"recovered", recovered},
       {"open_items", partition->store().open_items()}});
  partitions_[id] = partition;
  dispatcher_->AddPartition(partition);
}

void QueueNodeIncarnation::Deactivate(PartitionId id) {
  Log(LogLevel::kInfo, "partition_deactivated", {{"partition", id.value()}});
  partitions_.at(id)->Deactivate();
  dispatcher_->RemovePartition(id);
  quota_owner_->Drop(id);
  reserver_->Drop(id);
  partitions_.erase(id);
}

Result<std::shared_ptr<OwnedPartition>> QueueNodeIncarnation::RequireOwnership(
    std::uint64_t partition_id) const {
  if (!agent_.LeaseValid()) {
    return Status(StatusCode::kUnavailable, "this queue node has lost its lease");
  }
  const auto found = partitions_.find(PartitionId(partition_id));
  if (found == partitions_.end()) {
    return Status(StatusCode::kConflict,
                  "partition " + std::to_string(partition_id) + " is not owned by this node",
                  std::string(kNotOwnerDetail));
  }
  return found->second;
}

void QueueNodeIncarnation::Submit(const proto::SubmitBatchRequest& request,
                                  const Reply<proto::SubmitBatchResponse>& reply) {
  auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  intake_->Submit(*partition, request, reply);
}

void QueueNodeIncarnation::ReserveTokens(const proto::ReserveTokensRequest& request,
                                         const Reply<proto::ReserveTokensResponse>& reply) {
  const auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  quota_owner_->Reserve(request, reply);
}

proto::CountOpenTokensResponse QueueNodeIncarnation::CountOwnTokens(
    const proto::CountOpenTokensRequest& request) {
  proto::CountOpenTokensResponse response;
  response.set_owner_node_id(agent_.node_id().value());
  response.set_completed_below(reserver_->completed_below());
  for (const std::uint64_t sequence : reserver_->PendingRequests()) {
    response.add_pending(sequence);
  }
  for (const std::uint64_t id : request.partition_ids()) {
    const auto partition = RequireOwnership(id);
    if (partition.ok()) {
      proto::OpenTokens& count = *response.add_counts();
      count.set_partition_id(id);
      count.set_tokens((*partition)->OpenTokens(request.tenant(), request.route()));
      reserver_->RecordCount(PartitionId(id), request.tenant(), request.route(), count.tokens());
    }
  }
  return response;
}

void QueueNodeIncarnation::CountOpenTokens(const proto::CountOpenTokensRequest& request,
                                           const Reply<proto::CountOpenTokensResponse>& reply) {
  reply(CountOwnTokens(request));
}

void QueueNodeIncarnation::Get(const proto::GetBatchRequest& request,
                               const Reply<proto::GetBatchResponse>& reply) {
  const auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  const StoredBatch* batch = (*partition)->store().Find(request.batch_id());
  if (batch == nullptr) {
    reply(Status(StatusCode::kNotFound, "no batch " + request.batch_id()));
    return;
  }
  proto::GetBatchResponse response;
  *response.mutable_status() = batch->ToStatus();
  reply(std::move(response));
}

void QueueNodeIncarnation::ListBatches(const proto::ListBatchesRequest& request,
                                       const Reply<proto::ListBatchesResponse>& reply) {
  const auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  auto list =
      (*partition)->store().ListBatches(request.tenant(), request.cursor(), request.limit());
  if (!list.ok()) {
    reply(list.status());
    return;
  }
  proto::ListBatchesResponse response;
  *response.mutable_list() = std::move(*list);
  reply(std::move(response));
}

void QueueNodeIncarnation::ListResults(const proto::ListResultsRequest& request,
                                       const Reply<proto::ListResultsResponse>& reply) {
  const auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  auto list =
      (*partition)->store().ListResults(request.batch_id(), request.cursor(), request.limit());
  if (!list.ok()) {
    reply(list.status());
    return;
  }
  proto::ListResultsResponse response;
  *response.mutable_list() = std::move(*list);
  reply(std::move(response));
}

void QueueNodeIncarnation::GetItem(const proto::GetItemRequest& request,
                                   const Reply<proto::GetItemResponse>& reply) {
  const auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  auto item = (*partition)->store().OpenItem(request.batch_id(), request.custom_id());
  if (!item.ok()) {
    reply(item.status());
    return;
  }
  proto::GetItemResponse response;
  *response.mutable_item() = std::move(*item);
  reply(std::move(response));
}

void QueueNodeIncarnation::Cancel(const proto::CancelBatchRequest& request,
                                  const Reply<proto::CancelBatchResponse>& reply) {
  const auto partition = RequireOwnership(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  dispatcher_->Cancel(*partition, request.batch_id(), reply);
}

void QueueNodeIncarnation::Acquire(const proto::AcquireWorkRequest& request,
                                   const Reply<proto::AcquireWorkResponse>& reply) {
  if (!agent_.LeaseValid()) {
    reply(Status(StatusCode::kUnavailable, "this queue node has lost its lease"));
    return;
  }
  dispatcher_->Acquire(request, reply);
}

void QueueNodeIncarnation::Report(const proto::ReportWorkRequest& request,
                                  const Reply<proto::ReportWorkResponse>& reply) {
  if (!agent_.LeaseValid()) {
    reply(Status(StatusCode::kUnavailable, "this queue node has lost its lease"));
    return;
  }
  dispatcher_->Report(request, reply);
}

void QueueNodeIncarnation::Recover(const proto::RecoverPartitionsRequest& request,
                                   const Reply<proto::RecoverPartitionsResponse>& reply) {
  if (NodeId(request.queue_node_id()) != agent_.node_id()) {
    reply(Status(StatusCode::kConflict, "this node has another id now"));
    return;
  }
  std::vector<PartitionId> fresh;
  bool done = true;
  for (const std::uint64_t number : request.partition_ids()) {
    const PartitionId id(number);
    if (partitions_.contains(id)) {
      continue;
    }
    done = false;
    DropRecoveries(id, NodeId(request.dead_node_id()));
    const bool covered = std::any_of(recoveries_.begin(), recoveries_.end(),
                                     [&](const auto& recovery) { return recovery->Covers(id); });
    if (!covered) {
      fresh.push_back(id);
    }
  }
  for (const auto& recovery : recoveries_) {
    if (recovery->dead_node() == NodeId(request.dead_node_id())) {
      recovery->UpdateSources(request);
    }
  }
  if (!fresh.empty()) {
    recoveries_.push_back(std::make_shared<PartitionRecovery>(
        environment_, agent_, log_, recovery_reads_, request, fresh, fenced_));
    recoveries_.back()->Start();
  }
  proto::RecoverPartitionsResponse response;
  response.set_done(done);
  reply(std::move(response));
}

void QueueNodeIncarnation::Tick() {
  environment_.ScheduleAfter(options_.tick, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    self->dispatcher_->Tick();
    self->SweepFinished();
    self->ReportLoad();
    self->Tick();
  });
}

void QueueNodeIncarnation::SweepFinished() {
  if (environment_.Now() - swept_at_ < options_.retention_sweep || !log_.Accepting().ok()) {
    return;
  }
  swept_at_ = environment_.Now();
  const std::uint64_t configured = agent_.configuration().batch().retention_s();
  const Duration retention = configured == 0 ? options_.default_retention : seconds(configured);
  const std::int64_t cutoff =
      environment_.WallMilliseconds() - std::chrono::duration_cast<milliseconds>(retention).count();
  for (const auto& [id, partition] : partitions_) {
    std::vector<proto::LogEntry> entries;
    for (std::string& batch_id : partition->store().FinishedUpTo(cutoff)) {
      if (entries.size() < kRemovedPerSweep) {
        entries.emplace_back().mutable_batch_removed()->set_batch_id(std::move(batch_id));
      }
    }
    if (!entries.empty()) {
      partition->Log(std::move(entries), [](const Status&) {});
    }
  }
}

void QueueNodeIncarnation::ReportLoad() {
  std::uint64_t open_items = 0;
  for (const auto& [id, partition] : partitions_) {
    open_items += partition->store().open_items();
  }
  Metrics& metrics = environment_.metrics();
  metrics.SetGauge("queue_open_items", static_cast<double>(open_items));
  metrics.SetGauge("queue_partitions", static_cast<double>(partitions_.size()));
  metrics.SetGauge("queue_work_leases", static_cast<double>(dispatcher_->leases()));
  metrics.SetGauge("queue_log_segments", static_cast<double>(log_.live_segments()));
  const bool degraded = log_.degraded();
  metrics.SetGauge("queue_log_degraded", degraded ? 1 : 0);
  agent_.SetLoad(0, open_items, degraded);
}

}  // namespace cloverbank

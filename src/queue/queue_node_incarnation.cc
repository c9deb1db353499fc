#include "queue/queue_node_incarnation.h"

#include <utility>

namespace cloverbank {

QueueNodeIncarnation::QueueNodeIncarnation(Environment& environment, NodeAgent& agent,
                                           QueueOptions options,
                                           std::function<void(const std::string&)> on_fenced)
    : environment_(environment),
      agent_(agent),
      options_(options),
      log_(
          environment, agent, options.log, [this] { return ownership_.Watermarks(); }, on_fenced),
      recoveries_(environment, agent, log_, std::move(on_fenced)),
      ownership_(agent, log_, recoveries_, MakeOwnershipObservers()),
      dispatcher_(std::make_shared<WorkDispatcher>(environment, agent)),
      quota_owner_(MakeQuotaOwner()),
      reserver_(MakeReserver()),
      intake_(MakeIntake()),
      retention_(environment, agent, log_, ownership_,
                 {options.sweep_interval, options.default_retention}),
      batch_request_handler_(environment, agent, ownership_, *intake_, *dispatcher_),
      work_request_handler_(ownership_, *dispatcher_),
      token_request_handler_(agent, ownership_, *quota_owner_, *reserver_) {}

PartitionOwnership::Observers QueueNodeIncarnation::MakeOwnershipObservers() {
  return {.on_activated =
              [this](const std::shared_ptr<OwnedPartition>& partition) {
                dispatcher_->AddPartition(partition);
              },
          .on_deactivated =
              [this](PartitionId partition) {
                dispatcher_->RemovePartition(partition);
                quota_owner_->DropPartition(partition);
                reserver_->DropPartition(partition);
              }};
}

std::shared_ptr<TokenQuotaOwner> QueueNodeIncarnation::MakeQuotaOwner() {
  return std::make_shared<TokenQuotaOwner>(environment_, agent_,
                                           [this](const proto::CountOpenTokensRequest& request) {
                                             return token_request_handler_.CountOwnTokens(request);
                                           });
}

std::shared_ptr<TokenReserver> QueueNodeIncarnation::MakeReserver() {
  return std::make_shared<TokenReserver>(
      environment_, agent_, quota_owner_,
      [this](PartitionId partition, const std::string& tenant, const std::string& route) {
        const auto owned = ownership_.Find(partition);
        return owned == nullptr ? 0 : owned->CountOpenTokens(tenant, route);
      });
}

std::shared_ptr<BatchIntake> QueueNodeIncarnation::MakeIntake() {
  return std::make_shared<BatchIntake>(
      environment_, agent_, log_,
      [this](PartitionId partition, const proto::SubmitBatch& batch,
             const TokenReservation& reservation, std::function<void(Status)> done) {
        reserver_->Reserve(partition, batch, reservation, std::move(done));
      },
      [this](OwnedPartition& partition, const StoredBatch& batch) {
        dispatcher_->AddBatch(partition, batch);
      });
}

void QueueNodeIncarnation::Start() {
  log_.Start();
  ownership_.ApplyFleetView();
  ScheduleTick();
}

void QueueNodeIncarnation::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  log_.Stop();
  dispatcher_->Shutdown();
  ownership_.DeactivateAll();
}

void QueueNodeIncarnation::OnFleet() {
  log_.OnFleet();
  if (!stopped_) {
    ownership_.ApplyFleetView();
  }
}

void QueueNodeIncarnation::OnConfiguration() { dispatcher_->OnConfiguration(); }

void QueueNodeIncarnation::ScheduleTick() {
  environment_.ScheduleAfter(options_.tick_interval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) {
      return;
    }
    self->dispatcher_->Tick();
    self->retention_.SweepIfDue();
    self->ReportLoad();
    self->ScheduleTick();
  });
}

void QueueNodeIncarnation::ReportLoad() {
  std::uint64_t open_items = 0;
  for (const auto& [id, partition] : ownership_.partitions()) {
    open_items += partition->store().open_items();
  }
  Metrics& metrics = environment_.metrics();
  metrics.SetGauge("queue_open_items", static_cast<double>(open_items));
  metrics.SetGauge("queue_partitions", static_cast<double>(ownership_.partitions().size()));
  metrics.SetGauge("queue_work_leases", static_cast<double>(dispatcher_->lease_count()));
  metrics.SetGauge("queue_log_segments", static_cast<double>(log_.live_segments()));
  const bool degraded = log_.degraded();
  metrics.SetGauge("queue_log_degraded", degraded ? 1 : 0);
  agent_.SetLoad(0, open_items, degraded);
}

}  // namespace cloverbank

#include "work_dispatch/work_dispatcher.h"

#include <utility>

namespace cloverbank {
namespace {

/// @return the first lease id of the incarnation that has this node id. The node id is in the upper
/// 32 bits, so the lease ids of different incarnations are disjoint.
WorkLeaseId FirstLeaseId(NodeId node) {
  constexpr unsigned kNodeIdShift = 32;
  return WorkLeaseId((node.value() << kNodeIdShift) + 1);
}

}  // namespace

WorkDispatcher::WorkDispatcher(Environment& environment, NodeAgent& agent)
    : environment_(environment),
      queue_(std::make_shared<WorkQueue>(environment, agent)),
      leases_(std::make_shared<WorkLeases>(FirstLeaseId(agent.node_id()))),
      unknown_items_(std::make_shared<UnknownItems>()),
      canceller_(std::make_shared<BatchCanceller>(environment, queue_, leases_, unknown_items_)),
      granter_(std::make_shared<WorkGranter>(environment, agent, queue_, leases_)),
      report_handler_(std::make_shared<WorkReportHandler>(
          environment,
          WorkReportHandler::Dependencies{queue_, leases_, unknown_items_, granter_, canceller_})) {
  OnConfiguration();
}

void WorkDispatcher::AddPartition(const std::shared_ptr<OwnedPartition>& partition) {
  queue_->AddPartition(partition);
  canceller_->AddPartition(partition->id());
  partition->store().ForEach([&](const StoredBatch& batch) {
    if (batch.AllFinished()) {
      return;
    }
    LeaseStartedItems(partition->id(), batch);
    if (batch.cancelled) {
      canceller_->AddIncomplete({partition->id(), batch.accepted.batch_id()});
    } else {
      queue_->Enqueue(*partition, batch);
    }
  });
  granter_->ServePending();
}

void WorkDispatcher::LeaseStartedItems(PartitionId partition, const StoredBatch& batch) {
  for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
    if (batch.phases[index] == ItemPhase::kStarted) {
      leases_->Grant({partition, batch.accepted.batch_id(), index}, 0, Incarnation(),
                     batch.accepted.idempotent(), environment_.Now());
    }
  }
}

void WorkDispatcher::RemovePartition(PartitionId partition) {
  queue_->RemovePartition(partition);
  canceller_->RemovePartition(partition);
  unknown_items_->RemovePartition(partition);
  leases_->EndPartition(partition);
}

void WorkDispatcher::AddBatch(OwnedPartition& partition, const StoredBatch& batch) {
  queue_->Enqueue(partition, batch);
  granter_->ServePending();
}

void WorkDispatcher::Acquire(const proto::AcquireWorkRequest& request, AcquireReply reply) {
  granter_->Acquire(request, std::move(reply));
}

void WorkDispatcher::Report(const proto::ReportWorkRequest& request, ReportReply reply) {
  report_handler_->Report(request, std::move(reply));
}

void WorkDispatcher::Cancel(const std::shared_ptr<OwnedPartition>& partition,
                            const std::string& batch_id, const CancelReply& reply) {
  canceller_->Cancel(partition, batch_id, reply);
}

void WorkDispatcher::OnConfiguration() {
  queue_->OnConfiguration();
  granter_->ServePending();
}

void WorkDispatcher::Shutdown() { granter_->Shutdown(); }

void WorkDispatcher::Tick() {
  report_handler_->EndExpiredLeases();
  report_handler_->LogUnknown();
  report_handler_->FinishUnroutable();
  canceller_->CompleteDue();
}

}  // namespace cloverbank

#include "work_dispatch/work_granter.h"

#include <algorithm>
#include <utility>

namespace cloverbank {
namespace {

constexpr std::size_t kMaxGrantsPerResponse = 1000;
/// A response takes no further items once its items have this many bytes together.
constexpr std::size_t kMaxResponseBytes = 4U << 20U;
constexpr Duration kMaxHoldTime = seconds(5);
/// A pending request older than this is stale. It is answered without grants, so that its gateway
/// sends a new one: the gateway may have failed, and an item granted to a failed gateway ends as
/// unknown if it is not idempotent.
constexpr Duration kMaxRequestAge = milliseconds(20);
/// Stale requests are woken until their slots are this multiple of the number of waiting items,
/// because some of the gateways have failed and others have used their slots meanwhile.
constexpr std::size_t kWakeFactor = 2;
/// How long woken gateways have to send a new request.
constexpr Duration kWakeInterval = milliseconds(10);

}  // namespace

WorkGranter::WorkGranter(Environment& environment, NodeAgent& agent,
                         std::shared_ptr<WorkQueue> queue, std::shared_ptr<WorkLeases> leases)
    : environment_(environment),
      agent_(agent),
      queue_(std::move(queue)),
      leases_(std::move(leases)) {}

void WorkGranter::Acquire(const proto::AcquireWorkRequest& request, Reply reply) {
  pending_.push_back({request, environment_.Now(), std::move(reply), 0});
  const auto pending = std::prev(pending_.end());
  const Duration hold = std::min<Duration>(milliseconds(request.hold_ms()), kMaxHoldTime);
  pending->timer = environment_.ScheduleAfter(hold, [weak = weak_from_this(), pending] {
    if (const auto self = weak.lock()) {
      self->AnswerEmpty(pending);
    }
  });
  ServePending();
}

void WorkGranter::AnswerEmpty(std::list<PendingAcquire>::iterator pending) {
  const Reply reply = std::move(pending->reply);
  pending_.erase(pending);
  reply(proto::AcquireWorkResponse());
}

void WorkGranter::Shutdown() {
  for (const PendingAcquire& pending : pending_) {
    environment_.CancelTimer(pending.timer);
    pending.reply(Status(StatusCode::kUnavailable,
                         "the queue node's incarnation ended before it granted any items"));
  }
  pending_.clear();
}

void WorkGranter::ServePending() {
  if (agent_.configuration().batch().paused() || !agent_.HasValidLease()) {
    return;
  }
  for (auto pending = pending_.begin(); pending != pending_.end() && queue_->waiting_count() > 0;) {
    const auto next = std::next(pending);
    if (!IsFresh(*pending)) {
      pending = next;
      continue;
    }
    StartEntries starts;
    std::vector<WorkItemKey> items = SelectItems(pending->request, &starts);
    if (!items.empty()) {
      environment_.CancelTimer(pending->timer);
      auto grants = std::make_shared<PendingGrants>();
      grants->acquire = std::move(*pending);
      grants->items = std::move(items);
      pending_.erase(pending);
      LogStarts(grants, &starts);
    }
    pending = next;
  }
  WakeStaleRequests();
}

bool WorkGranter::IsFresh(const PendingAcquire& pending) const {
  return environment_.Now() - pending.arrived <= kMaxRequestAge;
}

void WorkGranter::WakeStaleRequests() {
  const TimePoint now = environment_.Now();
  if (queue_->waiting_count() == 0 || pending_.empty() || wake_scheduled_) {
    return;
  }
  if (now >= next_wake_) {
    const std::size_t wanted_slots = kWakeFactor * queue_->waiting_count();
    const std::size_t woken_slots = WakeStaleInZone(/*own_zone=*/true, 0, wanted_slots);
    WakeStaleInZone(/*own_zone=*/false, woken_slots, wanted_slots);
    next_wake_ = now + kWakeInterval;
  }
  wake_scheduled_ = true;
  environment_.ScheduleAfter(next_wake_ - now, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->wake_scheduled_ = false;
      self->ServePending();
    }
  });
}

std::size_t WorkGranter::CountUsableSlots(const proto::AcquireWorkRequest& request) const {
  std::size_t slots = 0;
  for (const proto::BackendCapacity& capacity : request.capacity()) {
    slots += queue_->HasWaiting(capacity.backend()) ? capacity.slots() : 0;
  }
  return slots;
}

std::size_t WorkGranter::WakeStaleInZone(bool own_zone, std::size_t slots,
                                         std::size_t wanted_slots) {
  for (auto pending = pending_.begin(); pending != pending_.end() && slots < wanted_slots;) {
    const auto next = std::next(pending);
    const std::size_t usable = CountUsableSlots(pending->request);
    const bool in_own_zone = pending->request.zone() == agent_.zone();
    if (!IsFresh(*pending) && in_own_zone == own_zone && usable > 0) {
      slots += usable;
      environment_.CancelTimer(pending->timer);
      AnswerEmpty(pending);
    }
    pending = next;
  }
  return slots;
}

std::vector<WorkItemKey> WorkGranter::SelectItems(const proto::AcquireWorkRequest& request,
                                                  StartEntries* starts) {
  std::vector<WorkItemKey> items;
  std::size_t bytes = 0;
  for (const proto::BackendCapacity& capacity : request.capacity()) {
    std::size_t slots = capacity.slots();
    while (slots > 0 && items.size() < kMaxGrantsPerResponse && bytes < kMaxResponseBytes) {
      const std::size_t limit = std::min(slots, FairQueue::kMaximumRunLength);
      const auto picked = queue_->Pick(capacity.backend(), limit);
      if (picked.empty()) {
        break;
      }
      for (const WorkItemKey& item : picked) {
        if (LeaseItem(item, request, starts)) {
          items.push_back(item);
          bytes += queue_->FindBatch(item)->items[item.index].ByteSizeLong();
          --slots;
        }
      }
    }
  }
  return items;
}

bool WorkGranter::LeaseItem(const WorkItemKey& item, const proto::AcquireWorkRequest& request,
                            StartEntries* starts) {
  const StoredBatch* batch = queue_->FindBatch(item);
  const bool grantable = batch != nullptr && !batch->cancelled &&
                         batch->phases[item.index] != ItemPhase::kFinished &&
                         leases_->Find(item) == nullptr;
  if (!grantable) {
    return false;  // For example, a late report brought its result while it was queued.
  }
  const bool idempotent = batch->accepted.idempotent();
  leases_->Grant(item, request.gateway_node_id(), Incarnation(request.incarnation()), idempotent,
                 environment_.Now());
  if (!idempotent && batch->phases[item.index] == ItemPhase::kWaiting) {
    proto::ItemStarted& started = *(*starts)[item.partition].emplace_back().mutable_item_started();
    started.set_batch_id(item.batch_id);
    started.set_item_index(item.index);
  }
  return true;
}

void WorkGranter::LogStarts(const PendingGrantsPtr& grants, StartEntries* starts) {
  if (starts->empty()) {
    SendGrants(grants);
    return;
  }
  grants->pending_logs = starts->size();
  for (auto& [id, entries] : *starts) {
    queue_->FindPartition(id)->AppendEntries(
        std::move(entries), [weak = weak_from_this(), grants, id = id](const Status& status) {
          if (const auto self = weak.lock()) {
            self->HandleStartsLogged(grants, id, status);
          } else if (--grants->pending_logs == 0) {
            grants->acquire.reply(Status(StatusCode::kUnavailable,
                                         "the queue node's incarnation ended while the starts of "
                                         "the granted items were being logged"));
          }
        });
  }
}

void WorkGranter::HandleStartsLogged(const PendingGrantsPtr& grants, PartitionId partition,
                                     const Status& status) {
  if (!status.ok()) {
    // Their grants were certainly not sent, so the items return to the queue.
    std::erase_if(grants->items, [&](const WorkItemKey& item) {
      const StoredBatch* batch = item.partition == partition ? queue_->FindBatch(item) : nullptr;
      if (item.partition != partition || (batch != nullptr && batch->accepted.idempotent())) {
        return false;
      }
      leases_->End(item);
      queue_->ReturnItem(item);
      return true;
    });
  }
  if (--grants->pending_logs == 0) {
    SendGrants(grants);
  }
}

bool WorkGranter::CanGrant(const WorkItemKey& item) const {
  const StoredBatch* batch = queue_->FindBatch(item);
  return batch != nullptr && !batch->cancelled &&
         batch->phases[item.index] != ItemPhase::kFinished &&
         !agent_.configuration().batch().paused() && agent_.HasValidLease();
}

proto::WorkGrant WorkGranter::MakeGrant(const WorkItemKey& item, Duration time_pending) const {
  const StoredBatch* batch = queue_->FindBatch(item);
  proto::WorkGrant grant;
  grant.set_lease_id(leases_->Find(item)->id.value());
  grant.set_partition_id(item.partition.value());
  grant.set_batch_id(item.batch_id);
  grant.set_item_index(item.index);
  *grant.mutable_item() = batch->items[item.index];
  grant.set_route(batch->accepted.route());
  *grant.mutable_route_reference() = batch->route;
  grant.set_idempotent(batch->accepted.idempotent());
  grant.set_failed_runs(queue_->FailedRuns(item));
  // The gateway counts the start window from when it sent the request, which was before the request
  // arrived and became pending here.
  const auto window =
      std::chrono::duration_cast<milliseconds>(time_pending + kWorkLeaseStartWindow);
  grant.set_start_within_ms(static_cast<std::uint32_t>(window.count()));
  return grant;
}

void WorkGranter::SendGrants(const PendingGrantsPtr& grants) {
  proto::AcquireWorkResponse response;
  const Duration time_pending = environment_.Now() - grants->acquire.arrived;
  for (const WorkItemKey& item : grants->items) {
    if (leases_->Find(item) == nullptr) {
      continue;  // This node does not own the item's partition any more.
    }
    if (CanGrant(item)) {
      *response.add_grants() = MakeGrant(item, time_pending);
    } else {
      leases_->End(item);
      queue_->ReturnItem(item);
    }
  }
  environment_.metrics().Increment("queue_grants_total", {}, response.grants_size());
  grants->acquire.reply(std::move(response));
}

}  // namespace cloverbank

#include "admission/call_queue.h"

#include <algorithm>
#include <utility>

namespace cloverbank {
namespace {

/// Time between checks of the queue while calls wait. The checks find expired waits, and capacity
/// that becomes available without an event: by slow start and at the end of a replica's pause after
/// refusals.
constexpr Duration kTickInterval = milliseconds(20);
/// Calls at the front of a queue that are tried at a time. If none of them finds capacity, the rest
/// of the queue is skipped.
constexpr std::size_t kDispatchLookahead = 4;

}  // namespace

CallQueue::CallQueue(Environment& environment, AdmissionOptions options)
    : environment_(environment), admission_(options) {}

CallQueue::~CallQueue() {
  environment_.CancelTimer(dispatch_timer_);
  environment_.CancelTimer(tick_timer_);
}

CallQueue::EnqueueResult CallQueue::Enqueue(WaitingCall call,
                                            std::weak_ptr<WaitingCallOwner> owner) {
  call.id = next_id_++;
  std::vector<WaitId> displaced;
  std::optional<RefusalNotice> refusal = admission_.Enqueue(call, environment_.Now(), &displaced);
  for (const WaitId id : displaced) {
    Refuse(id, Refusal::kDisplaced);
  }
  if (refusal) {
    return {0, refusal};
  }
  waiters_.emplace(call.id, Waiter{std::move(owner), call.backend});
  ScheduleTick();
  return {call.id, std::nullopt};
}

void CallQueue::Remove(WaitId id) {
  admission_.Remove(id);
  waiters_.erase(id);
}

void CallQueue::ScheduleDispatch() {
  if (dispatch_timer_ != 0 || admission_.waiting() == 0) {
    return;
  }
  dispatch_timer_ = environment_.ScheduleAfter(Duration::zero(), [this] {
    dispatch_timer_ = 0;
    Dispatch();
  });
}

Duration CallQueue::RetryAfter(const std::string& backend) const {
  return admission_.RetryAfter(backend);
}

void CallQueue::Dispatch() {
  for (const WaitId id : admission_.TakeExpired(environment_.Now())) {
    Refuse(id, Refusal::kWaitExpired);
  }
  for (const std::string& backend : admission_.BackendsWithWaiting()) {
    DispatchBackend(backend);
  }
  environment_.metrics().SetGauge("gateway_waiting_calls",
                                  static_cast<double>(admission_.waiting()));
  ScheduleTick();
}

void CallQueue::DispatchBackend(const std::string& backend) {
  while (ServeFirst(backend)) {
  }
}

bool CallQueue::ServeFirst(const std::string& backend) {
  bool served = false;
  for (const WaitId id : admission_.FirstWaiting(backend, kDispatchLookahead)) {
    const auto found = waiters_.find(id);
    const std::shared_ptr<WaitingCallOwner> owner =
        found == waiters_.end() ? nullptr : found->second.owner.lock();
    if (owner != nullptr && owner->ServeFromQueue() == ServeResult::kNoCapacity) {
      continue;
    }
    admission_.Serve(id, environment_.Now());
    Remove(id);
    served = true;
  }
  return served;
}

void CallQueue::Refuse(WaitId id, Refusal refusal) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    return;
  }
  const Waiter waiter = found->second;
  Remove(id);
  if (const std::shared_ptr<WaitingCallOwner> owner = waiter.owner.lock()) {
    owner->OnQueueRefusal({refusal, admission_.RetryAfter(waiter.backend)});
  }
}

void CallQueue::ScheduleTick() {
  if (tick_timer_ != 0 || admission_.waiting() == 0) {
    return;
  }
  tick_timer_ = environment_.ScheduleAfter(kTickInterval, [this] {
    tick_timer_ = 0;
    Dispatch();
  });
}

}  // namespace cloverbank

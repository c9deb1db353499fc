#include "gateway/replica_backend_caller.h"

#include <utility>

namespace cloverbank {
namespace {

BackendOutcome ToOutcome(CallResult result) {
  BackendOutcome outcome;
  outcome.succeeded = result.succeeded;
  outcome.executed = result.succeeded ? proto::EXECUTED_YES : result.error.executed();
  outcome.answer = std::move(result.answer);
  outcome.error = std::move(result.error);
  return outcome;
}

/// What the batch worker holds of an item. The item goes on if it lets go of this.
class BatchCall final : public BackendCall {
 public:
  explicit BatchCall(std::function<void()> cancel) : cancel_(std::move(cancel)) {}
  void Cancel() override {
    if (const auto cancel = std::exchange(cancel_, nullptr)) {
      cancel();
    }
  }

 private:
  std::function<void()> cancel_;
};

}  // namespace

std::uint32_t ReplicaBackendCaller::FreeBatchSlots(const std::string& backend) const {
  return MayStartBatches(backend) ? context_.attempt.pool.FreeBatchSlots(backend) : 0;
}

std::shared_ptr<BackendCall> ReplicaBackendCaller::RunBatchItem(
    const proto::Route& route, const proto::CallRequest& request, Duration deadline,
    std::function<bool()> may_start, std::function<void(BackendOutcome)> done) {
  CallSpec spec;
  spec.route = route.name();
  spec.backend = route.backend();
  spec.priority = proto::PRIORITY_BATCH;
  spec.idempotent = route.idempotent();
  spec.body = request;
  spec.deadline = context_.attempt.environment.Now() + deadline;
  spec.wait_until = spec.deadline;
  spec.work = WorkKind::kBatch;
  spec.may_start = [this, backend = route.backend(), may_start = std::move(may_start)] {
    return MayStartBatches(backend) && may_start();
  };
  const std::uint64_t id = next_item_++;
  CallEvents events;
  events.on_done = [this, id, done = std::move(done)](CallResult result) {
    const auto finish = done;  // The next line may destroy this function.
    running_.erase(id);
    finish(ToOutcome(std::move(result)));
  };
  const auto runner = std::make_shared<CallRunner>(context_, std::move(spec), std::move(events));
  running_.emplace(id, runner);
  runner->Start();
  return std::make_shared<BatchCall>([this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      running_.erase(id);  // Which cancels it.
    }
  });
}

bool ReplicaBackendCaller::MayStartBatches(const std::string& backend) const {
  const bool paused = context_.right.configuration().batch().paused();
  const bool live_waits = context_.queue.Waiting(backend) > 0;
  return !paused && !live_waits && context_.right.Valid() && context_.attempt.pool.list_usable();
}

}  // namespace cloverbank

#include "gateway/replica_backend_caller.h"

#include <utility>

namespace cloverbank {
namespace {

/// Keeps the runner of one item alive until it ended or was cancelled.
class BatchCall final : public BackendCall, public std::enable_shared_from_this<BatchCall> {
 public:
  void Start(const CallContext& context, CallSpec spec, std::function<void(BackendOutcome)> done) {
    CallEvents events;
    // The item runs to its end also if the one who started it keeps nothing of it.
    events.on_done = [self = shared_from_this(), done = std::move(done)](CallResult result) {
      self->runner_ = nullptr;
      done(ToOutcome(std::move(result)));
    };
    runner_ = std::make_shared<CallRunner>(context, std::move(spec), std::move(events));
    runner_->Start();
  }

  void Cancel() override {
    if (const std::shared_ptr<CallRunner> runner = std::exchange(runner_, nullptr)) {
      (void)runner->Cancel();
    }
  }

 private:
  static BackendOutcome ToOutcome(CallResult result) {
    BackendOutcome outcome;
    outcome.succeeded = result.succeeded;
    outcome.executed = result.succeeded ? proto::EXECUTED_YES : result.error.executed();
    outcome.answer = std::move(result.answer);
    outcome.error = std::move(result.error);
    return outcome;
  }

  std::shared_ptr<CallRunner> runner_;
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
  auto call = std::make_shared<BatchCall>();
  call->Start(context_, std::move(spec), std::move(done));
  return call;
}

bool ReplicaBackendCaller::MayStartBatches(const std::string& backend) const {
  const bool paused = context_.right.configuration().batch().paused();
  const bool live_waits = context_.queue.Waiting(backend) > 0;
  return !paused && !live_waits && context_.right.Valid() && context_.attempt.pool.list_usable();
}

}  // namespace cloverbank

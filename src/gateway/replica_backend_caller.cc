#include "gateway/replica_backend_caller.h"

#include <algorithm>
#include <utility>

#include "base/checksum.h"
#include "calls/event_collector.h"
#include "calls/forward_exchange.h"
#include "calls/json_exchange.h"

namespace cloverbank {
namespace {

BackendOutcome ToOutcome(CallResult result) {
  BackendOutcome outcome;
  outcome.succeeded = result.succeeded;
  outcome.executed = result.succeeded ? proto::EXECUTED_YES : result.error.executed();
  outcome.error = std::move(result.error);
  return outcome;
}

/// The batch worker's handle of a running item. Destroying the handle does not cancel the item.
class RunningItem final : public BackendCall {
 public:
  explicit RunningItem(std::function<void()> cancel) : cancel_(std::move(cancel)) {}
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
  return CanStartBatches(backend) ? context_.attempt.pool.FreeBatchSlots(backend) : 0;
}

std::shared_ptr<BackendCall> ReplicaBackendCaller::RunBatchItem(
    const BatchItemCall& item, std::function<bool()> can_start,
    std::function<void(BackendOutcome)> done) {
  const proto::Route& route = item.route;
  CallSpec spec;
  spec.route = item.reference;
  spec.route_name = route.name();
  spec.backend = item.backend;
  spec.priority = proto::PRIORITY_BATCH;
  spec.idempotent = route.idempotent();
  spec.maximum_attempts = route.attempts();
  spec.deadline = context_.attempt.environment.Now() + item.deadline;
  spec.wait_until = spec.deadline;
  spec.work = WorkKind::kBatch;
  spec.can_start = [this, backend = item.backend, can_start = std::move(can_start)] {
    return CanStartBatches(backend) && can_start();
  };
  ItemExchange exchange = item.request.has_forwarded() ? MakeForwardExchange(route, item.request)
                                                       : MakeJsonExchange(item.request);
  spec.exchange = std::move(exchange.exchange);
  return Run(std::move(spec), std::move(exchange.read_outcome), std::move(done));
}

ReplicaBackendCaller::ItemExchange ReplicaBackendCaller::MakeJsonExchange(
    const proto::CallRequest& request) {
  const auto exchange = std::make_shared<JsonExchange>(request, nullptr);
  return {exchange, [exchange](BackendOutcome* outcome) {
            if (outcome->succeeded) {
              outcome->answer = exchange->TakeResponse();
            }
          }};
}

ReplicaBackendCaller::ItemExchange ReplicaBackendCaller::MakeForwardExchange(
    const proto::Route& route, const proto::CallRequest& request) const {
  ForwardCall call;
  call.call_id = request.call_id();
  call.prefix_key = request.prefix_key();
  call.prompt.prompt_tokens = request.prompt_tokens();
  call.prompt.shared_tokens = request.shared_tokens();
  call.prompt.shared_key = request.prefix_key().empty() ? 0 : Checksum(request.prefix_key());
  call.request = request.forwarded();
  call.streamed = true;
  call.resumable = true;
  call.classify_failures = true;
  call.maximum_failures = std::max(1U, route.attempts());
  call.earlier_failures = request.failed_runs();
  const auto collector = std::make_shared<EventCollector>();
  const auto exchange = std::make_shared<ForwardExchange>(std::move(call), names_, *collector);
  return {
      exchange, [exchange, collector](BackendOutcome* outcome) {
        outcome->failed_runs = exchange->failures();
        if (outcome->succeeded) {
          outcome->answer.set_text(collector->TakeText());
        } else if (outcome->executed == proto::EXECUTED_YES && !exchange->IsFailureLimitReached()) {
          outcome->executed = proto::EXECUTED_UNKNOWN;  // The item may be attempted again.
        }
      }};
}

std::shared_ptr<BackendCall> ReplicaBackendCaller::Run(CallSpec spec, OutcomeReader read_outcome,
                                                       std::function<void(BackendOutcome)> done) {
  const std::uint64_t id = next_item_id_++;
  const auto finish = [this, id, read_outcome = std::move(read_outcome),
                       done = std::move(done)](CallResult result) {
    BackendOutcome outcome = ToOutcome(std::move(result));
    read_outcome(&outcome);
    const auto report = done;  // `erase` may destroy this lambda.
    running_.erase(id);
    report(std::move(outcome));
  };
  const auto runner = std::make_shared<CallRunner>(context_, std::move(spec), finish);
  running_.emplace(id, runner);
  runner->Start();
  return std::make_shared<RunningItem>([this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      running_.erase(id);  // The runner's destructor cancels the call.
    }
  });
}

bool ReplicaBackendCaller::CanStartBatches(const std::string& backend) const {
  const bool paused = context_.permission.configuration().batch().paused();
  const bool live_calls_wait = context_.queue.Waiting(backend) > 0;
  return !paused && !live_calls_wait && context_.permission.IsValid() &&
         context_.attempt.pool.list_usable();
}

}  // namespace cloverbank

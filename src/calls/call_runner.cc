#include "calls/call_runner.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "net/http_status.h"
#include "routes/route_match.h"

namespace cloverbank {
namespace {

constexpr int kHttpBadGateway = 502;
constexpr Duration kRetryAfter = seconds(1);

/// @return `options`, adjusted to the number of attempts that the call brings, if any. Refusals do
/// not count towards that number, since nothing ran there. Retries of batch items use no budget.
RetryOptions OptionsFor(const CallSpec& spec, RetryOptions options) {
  if (spec.maximum_attempts > 0) {
    options.maximum_refusals = std::max(options.maximum_attempts, options.maximum_refusals);
    options.maximum_attempts = spec.maximum_attempts;
    options.budgeted = spec.work == WorkKind::kLive;
  }
  return options;
}

}  // namespace

int HttpStatusForExecuted(proto::Executed executed) {
  switch (executed) {
    case proto::EXECUTED_NO:
      return kHttpUnavailable;
    case proto::EXECUTED_YES:
      return kHttpBadGateway;
    default:
      return kHttpGatewayTimeout;
  }
}

CallRunner::CallRunner(const CallContext& context, CallSpec spec, CallDone done)
    : context_(context),
      spec_(std::move(spec)),
      on_done_(std::move(done)),
      retry_options_(OptionsFor(spec_, context.retry_options)),
      retry_(retry_options_, context.retry_budget),
      split_random_(context.attempt.environment.Random()) {}

CallRunner::~CallRunner() { (void)Cancel(); }

void CallRunner::Start() { ScheduleAttempt(Duration::zero()); }

void CallRunner::ScheduleAttempt(Duration delay) {
  timer_ = context_.attempt.environment.ScheduleAfter(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->timer_ = 0;
      self->TrySendOrWait();
    }
  });
}

proto::Executed CallRunner::Cancel() {
  if (done_) {
    return retry_.executed();
  }
  done_ = true;
  context_.attempt.environment.CancelTimer(timer_);
  if (wait_id_ != 0) {
    context_.queue.Remove(wait_id_);
  }
  const bool maybe_sent = attempt_ != nullptr && attempt_->Cancel() == CancelResult::kMaybeSent;
  return maybe_sent ? proto::EXECUTED_UNKNOWN : retry_.executed();
}

void CallRunner::EndWith(CallFailure failure) {
  if (done_) {
    return;
  }
  const proto::Executed executed = Cancel();
  const CallFailureDetails details = DescribeCallFailure(failure);
  CountAbandoned(details.code);
  Finish(MakeFailedResult(executed, details.code, details.message, details.retry_after));
}

void CallRunner::TrySendOrWait() {
  if (done_) {
    return;
  }
  if (const proto::Route* route = FindRoute()) {
    ChooseBackendOf(*route);
  }
  const bool other_calls_wait = context_.queue.Waiting(spec_.backend) > 0;
  if (other_calls_wait || TrySend() == TrySendResult::kNoCapacity) {
    WaitInQueue();
  }
}

const proto::Route* CallRunner::FindRoute() const {
  const proto::RoutingConfiguration& configuration = context_.permission.configuration();
  return spec_.work == WorkKind::kBatch ? ResolveBatchRoute(configuration, spec_.route)
                                        : ResolveRoute(configuration, spec_.route);
}

void CallRunner::ChooseBackendOf(const proto::Route& route) {
  const bool stays = spec_.work == WorkKind::kBatch && AllowsBackend(route, spec_.backend);
  if (!stays) {
    spec_.backend = ChooseBackend(route, split_random_);
  }
}

CallRunner::TrySendResult CallRunner::TrySend() {
  const proto::Route* route = FindRoute();
  if (const std::optional<CallFailure> failure = CheckPreconditions(route)) {
    FinishWith(*failure);
    return TrySendResult::kEnded;
  }
  ChooseBackendOf(*route);
  if (!context_.attempt.pool.list_usable()) {
    // The list is stale because the process was frozen; a new one is being read.
    return TrySendResult::kNoCapacity;
  }
  const RoutingChoice choice = context_.attempt.pool.Choose(MakeRoutingQuery(*route));
  if (choice.replica != nullptr) {
    Send(*choice.replica, *route);
    return TrySendResult::kSent;
  }
  const bool temporary = choice.failure == RoutingFailure::kNoCapacity ||
                         choice.failure == RoutingFailure::kNoHealthyReplica;
  if (temporary) {
    return TrySendResult::kNoCapacity;
  }
  FinishWith(RoutingFailureName(choice.failure), "no replica serves this route now; retry later",
             kRetryAfter);
  return TrySendResult::kEnded;
}

std::optional<CallFailure> CallRunner::CheckPreconditions(const proto::Route* route) const {
  if (context_.attempt.environment.Now() >= spec_.deadline) {
    return CallFailure::kDeadlineReached;
  }
  if (!context_.permission.IsValid()) {
    return CallFailure::kLeaseExpired;
  }
  if (!context_.attempt.pool.list_loaded()) {
    return CallFailure::kNoReplicaList;
  }
  if (route == nullptr) {
    return CallFailure::kUnknownRoute;
  }
  if (IsBatchOnly(*route)) {
    return CallFailure::kBatchRoute;
  }
  if (!MayRunNow(*route)) {
    return CallFailure::kNotRepeatable;
  }
  if (spec_.can_start && !spec_.can_start()) {
    return CallFailure::kStartWithdrawn;
  }
  return std::nullopt;
}

bool CallRunner::IsBatchOnly(const proto::Route& route) const {
  return spec_.work == WorkKind::kLive && IsByPath(spec_.route) && route.accepts_batches();
}

RoutingQuery CallRunner::MakeRoutingQuery(const proto::Route& route) const {
  RoutingQuery query;
  query.configuration = &context_.permission.configuration();
  query.route = &route;
  query.backend = spec_.backend;
  query.prefix_key = spec_.exchange->prefix_key();
  query.prompt = spec_.exchange->prompt();
  query.excluded = &attempted_;
  query.work = spec_.work;
  query.tie_breaker = context_.attempt.environment.Random();
  return query;
}

void CallRunner::Send(const ReplicaRecord& replica, const proto::Route& route) {
  AttemptRequest request = MakeAttemptRequest(replica, route);
  const bool sent_before = !sent_to_.insert(replica.endpoint).second;
  request.new_connection = sent_before || context_.attempt.pool.NeedsNewConnections(replica.id);
  attempted_.push_back(replica.id);
  if (retry_.attempts() > 0) {
    RecordSentAgain(request, IsRepeatable(route));
  }
  route_idempotent_ = route.idempotent();
  retry_.OnAttempt();
  attempt_ = spec_.exchange->NewAttempt(context_.attempt, std::move(request), MakeExchangeEvents());
  attempt_->Start();
}

void CallRunner::RecordSentAgain(const AttemptRequest& request, bool repeatable) const {
  const std::string_view may_repeat = repeatable ? "yes" : "no";
  const std::string_view earlier_end = AttemptEndName(last_ended_.end);
  context_.attempt.environment.metrics().Increment(
      "gateway_calls_sent_again_total",
      {{"repeatable", may_repeat}, {"earlier", earlier_end}, {"reason", last_ended_.reason}});
  Log(LogLevel::kInfo, "call_sent_again",
      {{"call_id", call_id()},
       {"replica", request.use.id},
       {"instance", request.use.instance_id},
       {"earlier_replica", last_ended_.replica},
       {"earlier", earlier_end},
       {"reason", last_ended_.reason},
       {"attempts", retry_.attempts()},
       {"executed", proto::Executed_Name(retry_.executed())},
       {"repeatable", may_repeat},
       {"connection", request.new_connection ? "new" : "any"}});
}

AttemptRequest CallRunner::MakeAttemptRequest(const ReplicaRecord& replica,
                                              const proto::Route& route) {
  AttemptRequest request;
  request.endpoint = replica.endpoint;
  request.use = context_.attempt.pool.MakeUse(replica, spec_.work, spec_.exchange->prompt(),
                                              spec_.exchange->prefix_key());
  request.backend = replica.backend;
  request.kind = route.backend_kind();
  request.deadline = spec_.deadline;
  const std::weak_ptr<CallRunner> weak = weak_from_this();
  request.can_retry_elsewhere = [weak] {
    const auto self = weak.lock();
    return self != nullptr && self->IsRepeatableNow() && self->retry_.CanRetry();
  };
  request.can_send = [weak, use = request.use] {
    const auto self = weak.lock();
    return self != nullptr && self->CanSendNow(use);
  };
  return request;
}

ExchangeEvents CallRunner::MakeExchangeEvents() {
  const std::weak_ptr<CallRunner> weak = weak_from_this();
  ExchangeEvents events;
  events.on_committed = [weak] {
    if (const auto self = weak.lock()) {
      self->retry_.OnCommitted();
    }
  };
  events.on_done = [weak](const AttemptResult& result) {
    if (const auto self = weak.lock()) {
      self->OnAttemptDone(result);
    }
  };
  return events;
}

bool CallRunner::CanSendNow(const ReplicaUse& use) const {
  const proto::Route* route = FindRoute();
  const bool in_time = context_.attempt.environment.Now() < spec_.deadline;
  const bool permitted = !spec_.can_start || spec_.can_start();
  return !done_ && in_time && permitted && context_.permission.IsValid() && route != nullptr &&
         !IsBatchOnly(*route) && MayRunNow(*route) && context_.attempt.pool.CanSend(use, *route);
}

void CallRunner::WaitInQueue() {
  if (spec_.work == WorkKind::kBatch) {
    FinishWith(CallFailure::kNoCapacity);
    return;
  }
  attempted_.clear();
  WaitingCall waiting;
  waiting.backend = spec_.backend;
  waiting.priority = spec_.priority;
  waiting.wait_deadline = std::min(spec_.deadline, spec_.wait_until);
  waiting.bytes = spec_.exchange->request_bytes();
  const CallQueue::EnqueueResult queued =
      context_.queue.Enqueue(std::move(waiting), weak_from_this());
  if (queued.refusal) {
    OnQueueRefusal(*queued.refusal);
    return;
  }
  wait_id_ = queued.id;
}

ServeResult CallRunner::ServeFromQueue() {
  if (done_) {
    return ServeResult::kServed;
  }
  if (TrySend() == TrySendResult::kNoCapacity) {
    return ServeResult::kNoCapacity;
  }
  wait_id_ = 0;
  return ServeResult::kServed;
}

void CallRunner::OnQueueRefusal(const RefusalNotice& notice) {
  wait_id_ = 0;
  FinishWith(RefusalName(notice.refusal), "too many calls for the available replicas; retry later",
             notice.retry_after);
}

void CallRunner::OnAttemptDone(const AttemptResult& result) {
  if (done_) {
    return;
  }
  if (result.end == AttemptEnd::kComplete) {
    CallResult complete;
    complete.succeeded = true;
    Finish(std::move(complete));
    return;
  }
  Environment& environment = context_.attempt.environment;
  const bool repeatable = IsRepeatableNow() && !result.permanent;
  const RetryDecision decision = retry_.Decide(result.end, repeatable, environment.Random());
  environment.metrics().Increment(
      "gateway_attempt_failures_total",
      {{"reason", result.error.code()},
       {"next", decision.action == RetryAction::kFinish ? "finish" : "retry"}});
  Log(LogLevel::kInfo, "attempt_failed",
      {{"call_id", call_id()},
       {"replica", attempted_.empty() ? "" : attempted_.back()},
       {"attempts", retry_.attempts()},
       {"end", AttemptEndName(result.end)},
       {"reason", result.error.code()},
       {"error", result.error.message()},
       {"repeatable", repeatable ? "yes" : "no"},
       {"next", decision.action == RetryAction::kFinish ? "finish" : "retry"}});
  last_ended_ = {attempted_.empty() ? "" : attempted_.back(), result.end, result.error.code()};
  RetryOrFinish(result, decision);
}

void CallRunner::RetryOrFinish(const AttemptResult& result, const RetryDecision& decision) {
  switch (decision.action) {
    case RetryAction::kFinish:
      FinishFailed(result);
      return;
    case RetryAction::kSendElsewhere:
      if (TrySend() == TrySendResult::kNoCapacity) {
        WaitInQueue();
      }
      return;
    case RetryAction::kSendAfterBackoff:
    case RetryAction::kWaitForCapacity:
      if (decision.action == RetryAction::kWaitForCapacity && spec_.work == WorkKind::kBatch) {
        FinishWith(result.error.code(), result.error.message(), kRetryAfter);
        return;
      }
      if (decision.action == RetryAction::kSendAfterBackoff) {
        // From now on the wait for capacity is limited by the deadline only.
        spec_.wait_until = spec_.deadline;
      }
      ScheduleAttempt(decision.backoff);
      return;
  }
}

void CallRunner::FinishFailed(const AttemptResult& result) {
  if (result.end != AttemptEnd::kRejected || retry_.executed() != proto::EXECUTED_NO) {
    FinishWith(result.error.code(), result.error.message(), kRetryAfter);
    return;
  }
  CallResult refused;
  refused.error = result.error;
  refused.error.set_executed(proto::EXECUTED_NO);
  refused.http_status = kHttpBadRequest;
  Finish(std::move(refused));
}

void CallRunner::FinishWith(CallFailure failure) {
  const CallFailureDetails details = DescribeCallFailure(failure);
  CountAbandoned(details.code);
  CallResult result =
      MakeFailedResult(retry_.executed(), details.code, details.message, details.retry_after);
  if (failure == CallFailure::kUnknownRoute && retry_.executed() == proto::EXECUTED_NO) {
    result.http_status = kHttpNotFound;
  }
  Finish(std::move(result));
}

void CallRunner::FinishWith(std::string_view code, std::string_view message, Duration retry_after) {
  CountAbandoned(code);
  Finish(MakeFailedResult(retry_.executed(), code, message, retry_after));
}

void CallRunner::CountAbandoned(std::string_view code) {
  context_.attempt.environment.metrics().Increment("gateway_calls_abandoned_total",
                                                   {{"reason", code}});
}

CallResult CallRunner::MakeFailedResult(proto::Executed executed, std::string_view code,
                                        std::string_view message, Duration retry_after) const {
  CallResult result;
  result.error.set_code(std::string(code));
  result.error.set_message(std::string(message));
  result.error.set_executed(executed);
  result.http_status = HttpStatusForExecuted(executed);
  if (executed == proto::EXECUTED_NO && retry_after > Duration::zero()) {
    result.error.set_retry_after_ms(
        JitteredRetryAfterMs(retry_after, context_.attempt.environment.Random()));
  }
  return result;
}

void CallRunner::Finish(CallResult result) {
  done_ = true;
  context_.attempt.environment.CancelTimer(timer_);
  if (!result.succeeded) {
    result.error.set_call_id(call_id());
  }
  on_done_(std::move(result));
}

bool CallRunner::IsRepeatable(const proto::Route& route) const {
  return spec_.idempotent && route.idempotent();
}

bool CallRunner::MayRunNow(const proto::Route& route) const {
  return retry_.executed() == proto::EXECUTED_NO || IsRepeatable(route);
}

bool CallRunner::IsRepeatableNow() const {
  const proto::Route* route = FindRoute();
  return route_idempotent_ && route != nullptr && IsRepeatable(*route);
}

}  // namespace cloverbank

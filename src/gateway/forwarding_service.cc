#include "gateway/forwarding_service.h"

#include <algorithm>
#include <utility>

#include "gateway/admission_response.h"
#include "gateway/live_forward.h"
#include "net/http_status.h"
#include "routes/route_match.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

constexpr Duration kBatchRetryAfter = milliseconds(100);
constexpr Duration kRetryAfter = milliseconds(500);

ForwardCall MakeForwardCall(IncomingCall call, const proto::Route& route) {
  ForwardCall forward;
  forward.call_id = std::move(call.call_id);
  forward.prefix_key = std::move(call.prefix_key);
  forward.prompt = call.prompt;
  forward.request = std::move(call.request);
  forward.streamed = route.streamed();
  forward.resumable = route.resumable();
  forward.first_byte_target = milliseconds(route.target_ms());
  forward.pause_target = milliseconds(route.pause_target_ms());
  return forward;
}

}  // namespace

ForwardingService::ForwardingService(const CallContext& context, const GatewayOptions& options)
    : context_(context),
      options_(options),
      wait_queue_(context.attempt.environment,
                  [this](HttpResponder& responder) { RefuseWithoutConfiguration(responder); }) {}

ForwardingService::~ForwardingService() = default;

const proto::Route* ForwardingService::FindRouteFor(std::string_view host,
                                                    std::string_view path) const {
  return MatchRoute(context_.permission.configuration(), host, path);
}

bool ForwardingService::CanServe() const {
  return context_.permission.configuration().label() != 0 && context_.permission.IsValid();
}

void ForwardingService::Handle(IncomingCall call, const Responder& responder) {
  if (CanServe()) {
    Admit(std::move(call), responder);
  } else if (wait_queue_.size() < options_.calls.maximum_waiting_for_configuration) {
    WaitForConfiguration(std::move(call), responder);
  } else {
    RefuseWithoutConfiguration(*responder);
  }
}

void ForwardingService::WaitForConfiguration(IncomingCall call, const Responder& responder) {
  const Duration timeout = call.timeout.value_or(options_.calls.default_deadline);
  const Duration wait = std::min(options_.calls.configuration_wait, timeout / 2);
  wait_queue_.Add(std::move(call), responder, wait, timeout);
}

void ForwardingService::OnConfiguration() {
  if (!CanServe()) {
    return;
  }
  for (ConfigurationWaitQueue::Entry& entry : wait_queue_.TakeAll()) {
    entry.call.timeout = entry.deadline - context_.attempt.environment.Now();
    Admit(std::move(entry.call), entry.responder);
  }
}

void ForwardingService::EndUnansweredCalls() {
  const auto running = calls_;  // A call that ends removes itself.
  for (const auto& [number, call] : running) {
    call->EndUnanswered();
  }
  for (const ConfigurationWaitQueue::Entry& waiting : wait_queue_.TakeAll()) {
    RefuseWithoutConfiguration(*waiting.responder);
  }
}

bool ForwardingService::MayOutlastProcess(const proto::Route& route,
                                          const IncomingCall& call) const {
  return stop_ && context_.attempt.environment.Now() >= stop_->admits_until &&
         DeadlineOf(route, call) > stop_->LastAnswersAt();
}

void ForwardingService::RefuseWithoutConfiguration(HttpResponder& responder) {
  Refuse(responder, kHttpUnavailable, "no_configuration",
         "this gateway has no configuration or no valid lease from the coordinators; try another "
         "gateway",
         kRetryAfter);
}

void ForwardingService::Admit(IncomingCall call, const Responder& responder) {
  const proto::Route* route = FindRouteFor(call.host, call.path);
  if (route == nullptr) {
    RefuseUnknownRoute(call, responder);
    return;
  }
  if (route->accepts_batches() && call.on_batch_route) {
    call.on_batch_route(*route);
    return;
  }
  if (route->accepts_batches()) {
    // The request was received before the configuration by which it is a batch; it must not be
    // forwarded as a call.
    Refuse(*responder, kHttpUnavailable, "batch_route",
           "this route accepts batches; submit the batch again", kBatchRetryAfter);
    return;
  }
  if (MayOutlastProcess(*route, call)) {
    const CallFailureDetails details = DescribeCallFailure(CallFailure::kStopping);
    Refuse(*responder, kHttpUnavailable, std::string(details.code), std::string(details.message),
           details.retry_after);
    return;
  }
  const auto refusal =
      context_.queue.admission().Admit(*route, nullptr, context_.attempt.environment.Now());
  if (refusal) {
    Refuse(*responder, HttpStatusForRefusal(refusal->refusal),
           std::string(RefusalName(refusal->refusal)), "too many calls; retry later",
           refusal->retry_after);
    return;
  }
  StartCall(std::move(call), responder, *route);
}

void ForwardingService::RefuseUnknownRoute(const IncomingCall& call, const Responder& responder) {
  const auto refuse = [this, responder] {
    Refuse(*responder, kHttpNotFound, "unknown_route", "no route matches this host and path",
           Duration::zero());
  };
  if (call.on_unknown_route) {
    call.on_unknown_route(refuse);
  } else {
    refuse();
  }
}

void ForwardingService::StartCall(IncomingCall call, const Responder& responder,
                                  const proto::Route& route) {
  CallSpec spec = MakeSpec(route, call);
  const std::uint64_t number = next_call_number_++;
  auto forward = std::make_shared<LiveForward>(
      context_, responder, [this, number, name = route.name()] { OnCallFinished(number, name); });
  calls_.emplace(number, forward);
  forward->Start(std::move(spec), MakeForwardCall(std::move(call), route),
                 options_.replica_header_names);
}

TimePoint ForwardingService::DeadlineOf(const proto::Route& route, const IncomingCall& call) const {
  Duration timeout = milliseconds(route.deadline_ms());
  if (call.timeout) {
    timeout = std::min(timeout, *call.timeout);
  }
  return context_.attempt.environment.Now() + timeout;
}

CallSpec ForwardingService::MakeSpec(const proto::Route& route, const IncomingCall& call) const {
  const TimePoint now = context_.attempt.environment.Now();
  CallSpec spec;
  spec.route = ReferenceByPath(call.host, call.path);
  spec.route_name = route.name();
  spec.priority = route.priority();
  spec.idempotent = route.idempotent();
  spec.maximum_attempts = route.attempts();
  spec.deadline = DeadlineOf(route, call);
  spec.wait_until = std::min(spec.deadline, now + options_.admission.longest_wait);
  return spec;
}

void ForwardingService::Refuse(HttpResponder& responder, int http_status, const std::string& code,
                               const std::string& message, Duration retry_after) {
  context_.attempt.environment.metrics().Increment("gateway_refusals_total", {{"reason", code}});
  proto::CallError error;
  error.set_code(code);
  error.set_message(message);
  error.set_executed(proto::EXECUTED_NO);
  error.set_retry_after_ms(
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(retry_after).count()));
  SendRefusal(responder, http_status, error);
}

void ForwardingService::OnCallFinished(std::uint64_t number, const std::string& route) {
  context_.queue.admission().Finish(route);
  calls_.erase(number);
}

}  // namespace cloverbank

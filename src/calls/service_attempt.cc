#include <utility>

#include "base/logging.h"
#include "calls/call_attempt.h"
#include "json/json.h"

namespace cloverbank {
namespace {

constexpr int kHttpOk = 200;
constexpr std::string_view kServePath = "/serve";

/// One request to a plain service and its whole answer.
class ServiceAttempt final : public CallAttempt,
                             public std::enable_shared_from_this<ServiceAttempt> {
 public:
  ServiceAttempt(const AttemptContext& context, JsonAttemptRequest request,
                 JsonAttemptCallbacks callbacks)
      : context_(context), request_(std::move(request)), callbacks_(std::move(callbacks)) {}

  void Start() override {
    sent_at_ = context_.environment.Now();
    const Duration remaining = request_.deadline - sent_at_;
    HttpRequest http = MakeReplicaRequest(kServePath, request_, remaining);
    const std::weak_ptr<ServiceAttempt> weak = weak_from_this();
    http.may_send = [weak] {
      const auto self = weak.lock();
      return self != nullptr && self->CanSend();
    };
    context_.pool.OnCallStarted(request_.use);
    call_ = context_.client.Call(
        request_.endpoint, std::move(http), remaining,
        [self = shared_from_this()](const HttpOutcome& outcome) { self->OnOutcome(outcome); });
  }

  CancelledWhen Cancel() override {
    if (done_) {
      return CancelledWhen::kNotUnderWay;
    }
    done_ = true;
    if (call_ != nullptr) {
      call_->Cancel();
    }
    context_.pool.OnCallEnded(request_.use, CallEnd::kWithdrawn);
    return asked_ && !withheld_ ? CancelledWhen::kMaybeSent : CancelledWhen::kNotUnderWay;
  }

 private:
  bool CanSend() {
    asked_ = true;
    withheld_ = done_ || !request_.may_send();
    return !withheld_;
  }

  void OnOutcome(const HttpOutcome& outcome) {
    if (done_) {
      return;
    }
    const TimePoint now = context_.environment.Now();
    if (outcome.kind != HttpOutcomeKind::kAnswered) {
      NoResponseContext facts;
      facts.withheld = withheld_;
      facts.deadline_reached = now >= request_.deadline;
      facts.patience = request_.deadline - sent_at_;
      Finish(ClassifyTimeout(outcome, facts, context_.options));
      return;
    }
    context_.pool.OnAnswerHead(request_.use, outcome.response.headers, now - sent_at_);
    if (outcome.response.status != kHttpOk) {
      Finish(ReadRefusal(outcome.response.status, outcome.response.body));
      return;
    }
    Finish(ReadAnswer(outcome.response.body));
  }

  /// A whole answer counts only if it is this call's.
  FailureReading ReadAnswer(const std::string& body) const {
    FailureReading reading;
    const bool readable = FromJson(body, &reading.result.answer, UnknownFields::kIgnore).ok();
    if (readable && reading.result.answer.call_id() == request_.body.call_id()) {
      reading.result.end = AttemptEnd::kComplete;
      reading.health = CallEnd::kSuccess;
      return reading;
    }
    const std::string_view fault = readable ? "other_call" : "malformed";
    context_.environment.metrics().Increment("gateway_response_faults_total", {{"fault", fault}});
    Log(LogLevel::kWarning, "response_discarded",
        {{"call_id", request_.body.call_id()}, {"replica", request_.use.id}, {"fault", fault}});
    reading.result.answer.Clear();
    reading.result.end = AttemptEnd::kUnknown;
    reading.result.error.set_code("response_broken");
    reading.result.error.set_message("the replica's answer was not this call's: " +
                                     std::string(fault));
    reading.health = CallEnd::kFailed;
    return reading;
  }

  void Finish(FailureReading reading) {
    done_ = true;
    context_.pool.OnCallEnded(request_.use, reading.health);
    callbacks_.on_done(std::move(reading.result));
  }

  AttemptContext context_;
  JsonAttemptRequest request_;
  JsonAttemptCallbacks callbacks_;
  std::shared_ptr<HttpCall> call_;
  TimePoint sent_at_;
  bool asked_ = false;  ///< Whether `may_send` was asked: nothing was sent before.
  bool withheld_ = false;
  bool done_ = false;
};

}  // namespace

std::shared_ptr<CallAttempt> MakeServiceAttempt(const AttemptContext& context,
                                                JsonAttemptRequest request,
                                                JsonAttemptCallbacks callbacks) {
  return std::make_shared<ServiceAttempt>(context, std::move(request), std::move(callbacks));
}

}  // namespace cloverbank

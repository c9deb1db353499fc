#include <utility>

#include "base/logging.h"
#include "calls/attempt_session.h"
#include "calls/call_attempt.h"
#include "json/json.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr std::string_view kServePath = "/serve";

/// An attempt at a plain service: one JSON request and one complete response.
class ServiceAttempt final : public CallAttempt,
                             public std::enable_shared_from_this<ServiceAttempt> {
 public:
  ServiceAttempt(const AttemptContext& context, JsonAttemptRequest request,
                 JsonAttemptCallbacks callbacks)
      : context_(context),
        request_(std::move(request)),
        callbacks_(std::move(callbacks)),
        session_(context_, request_) {}

  void Start() override {
    const Duration remaining = session_.Begin();
    HttpRequest http = MakeReplicaRequest(kServePath, request_, remaining);
    const std::weak_ptr<ServiceAttempt> weak = weak_from_this();
    http.can_send = [weak] {
      const auto self = weak.lock();
      return self != nullptr && self->session_.CanSend();
    };
    call_ = context_.client.Call(
        request_.endpoint, std::move(http), remaining,
        [self = shared_from_this()](const HttpOutcome& outcome) { self->OnOutcome(outcome); });
  }

  CancelResult Cancel() override {
    if (session_.done()) {
      return CancelResult::kNotInProgress;
    }
    session_.MarkDone();
    if (call_ != nullptr) {
      call_->Cancel();
    }
    session_.Release(CallOutcome::kCancelled);
    return session_.cancel_result();
  }

 private:
  void OnOutcome(const HttpOutcome& outcome) {
    if (session_.done()) {
      return;
    }
    if (outcome.kind != HttpOutcomeKind::kAnswered) {
      Finish(session_.ClassifyIncomplete(outcome, false));
      return;
    }
    context_.pool.OnResponseHead(request_.use, outcome.response.headers, session_.Elapsed());
    if (outcome.response.status != kHttpOk) {
      const std::string_view echoed = FindHeader(outcome.response.headers, kCallIdHeader);
      Finish(session_.ClassifyError({outcome.response.status, std::string(echoed),
                                     outcome.response.body, call_->connection_reused()},
                                    request_.body.call_id()));
      return;
    }
    Finish(ParseResponse(outcome.response.body));
  }

  /// Accepts a complete response only if its call id is that of this call.
  FailureClassification ParseResponse(const std::string& body) const {
    FailureClassification classification;
    const bool readable =
        FromJson(body, &classification.result.answer, UnknownFields::kIgnore).ok();
    if (readable && classification.result.answer.call_id() == request_.body.call_id()) {
      classification.result.end = AttemptEnd::kComplete;
      classification.health = CallOutcome::kSuccess;
      return classification;
    }
    const std::string_view fault = readable ? "other_call" : "malformed";
    context_.environment.metrics().Increment("gateway_response_faults_total", {{"fault", fault}});
    Log(LogLevel::kWarning, "response_discarded",
        {{"call_id", request_.body.call_id()}, {"replica", request_.use.id}, {"fault", fault}});
    classification.result.answer.Clear();
    classification.result.end = AttemptEnd::kUnknown;
    classification.result.error.set_code("response_broken");
    classification.result.error.set_message(
        "the replica's response is not a valid response to this call: " + std::string(fault));
    classification.health = CallOutcome::kFailed;
    return classification;
  }

  void Finish(FailureClassification classification) {
    session_.MarkDone();
    session_.Release(classification.health);
    callbacks_.on_done(std::move(classification.result));
  }

  AttemptContext context_;
  JsonAttemptRequest request_;
  JsonAttemptCallbacks callbacks_;
  AttemptSession session_;
  std::shared_ptr<HttpCall> call_;
};

}  // namespace

std::shared_ptr<CallAttempt> MakeServiceAttempt(const AttemptContext& context,
                                                JsonAttemptRequest request,
                                                JsonAttemptCallbacks callbacks) {
  return std::make_shared<ServiceAttempt>(context, std::move(request), std::move(callbacks));
}

}  // namespace cloverbank

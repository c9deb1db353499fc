#include <utility>

#include "base/logging.h"
#include "calls/attempt_session.h"
#include "calls/call_attempt.h"
#include "calls/response_origin.h"
#include "json/json.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr std::string_view kServePath = "/serve";
constexpr Duration kNoIdleLimit{};

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
    HttpStreamCallbacks callbacks;
    callbacks.on_head = [weak](int status, const HttpHeaders& headers) {
      if (const auto self = weak.lock()) {
        self->OnHead(status, headers);
      }
    };
    callbacks.on_bytes = [weak](const std::string& bytes, const std::function<void()>& more) {
      if (const auto self = weak.lock()) {
        self->OnBytes(bytes, more);
      }
    };
    // `on_end` keeps the attempt alive until the HTTP call has ended.
    callbacks.on_end = [self = shared_from_this()](const HttpOutcome& outcome) {
      self->OnEnd(outcome);
    };
    call_ = context_.client.Stream(request_.endpoint, std::move(http), remaining, kNoIdleLimit,
                                   std::move(callbacks));
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
  void OnHead(int status, const HttpHeaders& headers) {
    if (session_.done()) {
      return;
    }
    status_ = status;
    echoed_id_ = FindHeader(headers, kCallIdHeader);
    context_.pool.OnResponseHead(request_.use, headers, session_.Elapsed());
    const bool foreign =
        FindResponseOrigin(echoed_id_, request_.body.call_id()) == ResponseOrigin::kOtherCall;
    if (foreign) {
      Abort("other_call");
    }
  }

  void OnBytes(const std::string& bytes, const std::function<void()>& more) {
    if (session_.done()) {
      return;
    }
    body_ += bytes;
    if (body_.size() > context_.options.maximum_response_bytes) {
      Abort("too_large");
      return;
    }
    more();
  }

  void OnEnd(const HttpOutcome& outcome) {
    if (session_.done()) {
      return;
    }
    if (outcome.kind != HttpOutcomeKind::kAnswered) {
      Finish(session_.ClassifyIncomplete(outcome, status_ != 0));
      return;
    }
    if (status_ != kHttpOk) {
      Finish(session_.ClassifyError({status_, echoed_id_, body_, call_->connection_reused()},
                                    request_.body.call_id()));
      return;
    }
    Finish(ParseResponse());
  }

  /// Accepts a complete response only if its call id is that of this call.
  FailureClassification ParseResponse() const {
    FailureClassification classification;
    const bool readable =
        FromJson(body_, &classification.result.answer, UnknownFields::kIgnore).ok();
    if (readable && classification.result.answer.call_id() == request_.body.call_id()) {
      classification.result.end = AttemptEnd::kComplete;
      classification.health = CallOutcome::kSuccess;
      return classification;
    }
    return DescribeFault(readable ? "other_call" : "malformed");
  }

  /// Ends the attempt and closes its connection, which may bring further foreign responses.
  void Abort(std::string_view fault) {
    call_->Cancel();
    Finish(DescribeFault(fault));
  }

  FailureClassification DescribeFault(std::string_view fault) const {
    context_.environment.metrics().Increment("gateway_response_faults_total", {{"fault", fault}});
    Log(LogLevel::kWarning, "response_discarded",
        {{"call_id", request_.body.call_id()}, {"replica", request_.use.id}, {"fault", fault}});
    FailureClassification classification;
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
  int status_ = 0;         ///< 0 until the head was received.
  std::string echoed_id_;  ///< The call id in the head; empty if it has none.
  std::string body_;
};

}  // namespace

std::shared_ptr<CallAttempt> MakeServiceAttempt(const AttemptContext& context,
                                                JsonAttemptRequest request,
                                                JsonAttemptCallbacks callbacks) {
  return std::make_shared<ServiceAttempt>(context, std::move(request), std::move(callbacks));
}

}  // namespace cloverbank

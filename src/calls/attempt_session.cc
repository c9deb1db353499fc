#include "calls/attempt_session.h"

namespace cloverbank {

Duration AttemptSession::Begin() {
  sent_at_ = context_.environment.Now();
  context_.pool.OnCallStarted(request_.use);
  return request_.deadline - sent_at_;
}

bool AttemptSession::CanSend() {
  send_checked_ = true;
  send_denied_ = done_ || !request_.can_send();
  return !send_denied_;
}

void AttemptSession::Release(CallOutcome health) {
  if (!released_ && !pool_lifetime_.expired()) {
    released_ = true;
    context_.pool.OnCallEnded(request_.use, health);
  }
}

FailureClassification AttemptSession::ClassifyIncomplete(const HttpOutcome& outcome,
                                                         bool head_received) const {
  IncompleteResponseContext context;
  context.send_denied = send_denied_;
  context.head_received = head_received;
  context.deadline_reached = context_.environment.Now() >= request_.deadline;
  context.time_allowed = request_.deadline - sent_at_;
  return ClassifyIncompleteResponse(outcome, context, context_.options);
}

FailureClassification AttemptSession::ClassifyError(const ErrorResponse& response,
                                                    std::string_view call_id) const {
  FailureClassification classification = ClassifyErrorResponse(response, call_id);
  if (classification.unidentified_refusal) {
    context_.pool.OnUnidentifiedRefusal(request_.use);
  }
  return classification;
}

}  // namespace cloverbank

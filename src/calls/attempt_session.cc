#include "calls/attempt_session.h"

namespace cloverbank {

Duration AttemptSession::Begin() {
  sent_at_ = context_.environment.Now();
  context_.pool.OnCallStarted(request_.use);
  return request_.deadline - sent_at_;
}

bool AttemptSession::CanSend() {
  asked_ = true;
  withheld_ = done_ || !request_.may_send();
  return !withheld_;
}

void AttemptSession::Release(CallEnd health) {
  if (!released_ && !pool_lifetime_.expired()) {
    released_ = true;
    context_.pool.OnCallEnded(request_.use, health);
  }
}

FailureReading AttemptSession::ClassifyNoResponse(const HttpOutcome& outcome,
                                                  bool head_came) const {
  NoResponseContext facts;
  facts.withheld = withheld_;
  facts.head_came = head_came;
  facts.deadline_reached = context_.environment.Now() >= request_.deadline;
  facts.patience = request_.deadline - sent_at_;
  return ClassifyTimeout(outcome, facts, context_.options);
}

}  // namespace cloverbank

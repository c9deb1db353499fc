#pragma once
/// @file
/// The common part of all kinds of attempts: reports the start and the end of the call to the
/// replica pool exactly once, checks immediately before the request is sent that it still may be
/// sent, and classifies a call that ended without a complete response. Threads: the owner's event
/// loop only.

#include <memory>

#include "calls/call_attempt.h"

namespace cloverbank {

class AttemptSession {
 public:
  /// @param context, request outlive the session.
  AttemptSession(const AttemptContext& context, const AttemptRequest& request)
      : context_(context), request_(request), pool_lifetime_(context.pool.lifetime()) {}

  /// To be called when the request is handed to the HTTP client: reports the start of the call to
  /// the pool. @return the time left until the call's deadline.
  Duration Begin();
  /// The HTTP client calls this immediately before it sends the first byte. @return whether it may
  /// send the request.
  bool CanSend();
  /// Reports to the pool that the call no longer occupies the replica. Later calls, and calls after
  /// the pool was destroyed, have no effect.
  /// @param health what the end of the call says about the replica's health.
  void Release(CallOutcome health);

  /// The attempt has its result, or was cancelled: nothing is sent or reported from now on.
  void MarkDone() { done_ = true; }
  bool done() const { return done_; }
  /// @return the result of cancelling the attempt now.
  CancelResult cancel_result() const {
    return send_checked_ && !send_denied_ ? CancelResult::kMaybeSent : CancelResult::kNotInProgress;
  }

  /// @return time since `Begin`.
  Duration Elapsed() const { return context_.environment.Now() - sent_at_; }
  /// Classifies a call that ended without a complete response.
  /// @param head_received whether the replica had begun to respond.
  FailureClassification ClassifyIncomplete(const HttpOutcome& outcome, bool head_received) const;
  /// Classifies an error response, and reports a refusal without a call id to the pool.
  FailureClassification ClassifyError(const ErrorResponse& response,
                                      std::string_view call_id) const;

 private:
  const AttemptContext& context_;
  const AttemptRequest& request_;
  std::weak_ptr<const void> pool_lifetime_;  ///< Expires when the pool is destroyed.
  TimePoint sent_at_;
  bool send_checked_ = false;  ///< Whether `CanSend` ran: nothing is sent before.
  bool send_denied_ = false;   ///< Whether `CanSend` returned false.
  bool released_ = false;
  bool done_ = false;
};

}  // namespace cloverbank

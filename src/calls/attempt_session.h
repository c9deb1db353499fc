#pragma once
/// @file
/// The common part of all kinds of attempts: reports the use of the replica to the pool exactly
/// once, checks immediately before the request is sent that it still may be sent, and classifies a
/// call that ended without a complete response. Threads: the owner's event loop only.

#include <memory>

#include "calls/call_attempt.h"

namespace cloverbank {

class AttemptSession {
 public:
  /// @param context, request outlive the session.
  AttemptSession(const AttemptContext& context, const AttemptRequest& request)
      : context_(context), request_(request), pool_lifetime_(context.pool.lifetime()) {}

  /// The request is handed to the HTTP client. @return the time left until the call's deadline.
  Duration Begin();
  /// Asked by the HTTP client immediately before the first byte leaves.
  bool CanSend();
  /// Reports to the pool that the replica is free of this call; only the first time counts.
  void Release(CallEnd health);

  /// The attempt has its result, or was cancelled: nothing is sent or reported from now on.
  void MarkDone() { done_ = true; }
  bool done() const { return done_; }
  /// @return how far the attempt is, for one that is being cancelled.
  CancelResult cancel_result() const {
    return send_checked_ && !send_denied_ ? CancelResult::kMaybeSent : CancelResult::kNotInProgress;
  }

  /// @return time since `Begin`.
  Duration Elapsed() const { return context_.environment.Now() - sent_at_; }
  /// Classifies a call that ended without a complete response.
  /// @param head_received whether the replica had begun to respond.
  FailureClassification ClassifyIncomplete(const HttpOutcome& outcome, bool head_received) const;

 private:
  const AttemptContext& context_;
  const AttemptRequest& request_;
  std::weak_ptr<const void> pool_lifetime_;
  TimePoint sent_at_;
  bool send_checked_ = false;  ///< Whether `CanSend` ran: nothing is sent before.
  bool send_denied_ = false;
  bool released_ = false;
  bool done_ = false;
};

}  // namespace cloverbank

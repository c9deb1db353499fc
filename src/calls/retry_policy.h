#pragma once
/// @file
/// Decides whether a call may be retried after an attempt, and tracks whether it may have run.
/// Pure. `RetryState` belongs to one call; all calls of a gateway share one `RetryBudget`.
///
/// Invariant: a non-idempotent call is never sent again after bytes of it were sent, unless the
/// replica refused it before running it.

#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// How one attempt at a replica ended.
enum class AttemptEnd : std::uint8_t {
  kComplete,  ///< A complete, checked response was received.
  kNotRun,    ///< The call certainly did not run: nothing was sent, or the replica refused it.
  kRejected,  ///< The replica found the request invalid: not run, and others would reject it too.
  kUnknown,   ///< Bytes were sent, and the call may have run.
  kFailed,    ///< The replica reported that the call ran and failed.
};

/// @return the stable snake_case name, for logs.
std::string_view AttemptEndName(AttemptEnd end);

struct RetryOptions {
  /// Attempts, whatever their end, before the call waits in the queue; also the limit of attempts
  /// that may have run.
  std::uint32_t maximum_attempts = 3;
  /// Attempts after which a refused call waits, if that is more than `maximum_attempts`. If it is
  /// not zero, refusals do not use up `maximum_attempts`.
  std::uint32_t maximum_refusals = 0;
  double budget_ratio = 0.2;   ///< Retries added to the budget for each first attempt.
  double budget_reserve = 10;  ///< Initial and maximum number of retries in the budget.
  /// Whether retries use the budget. Those of batch work do not need it, since they are bounded by
  /// the capacity for batch work.
  bool budgeted = true;
  /// Upper bound of a backoff before any retry is made; it doubles with each retry, including the
  /// first one.
  Duration base_backoff = milliseconds(20);
  Duration maximum_backoff = milliseconds(500);  ///< Upper bound of every backoff.
};

/// Limits retries to a share of all calls, so that they do not make an outage worse.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options)
      : tokens_per_call_(options.budget_ratio),
        maximum_tokens_(options.budget_reserve),
        tokens_(maximum_tokens_) {}

  /// A call was sent for the first time.
  void OnFirstAttempt();
  /// Whether the budget allows a retry now.
  bool HasRetry() const { return tokens_ >= 1; }
  /// Takes one retry from the budget. @return false if none is left.
  bool ConsumeRetry();

 private:
  double tokens_per_call_;
  double maximum_tokens_;
  double tokens_;
};

enum class RetryAction : std::uint8_t {
  kFinish,            ///< Respond to the client.
  kSendElsewhere,     ///< Send immediately to another replica.
  kSendAfterBackoff,  ///< Send again after the backoff.
  /// The limit of refused or unsent attempts is reached: after the backoff, choose a replica again,
  /// or wait in the queue until one has capacity.
  kWaitForCapacity,
};

struct RetryDecision {
  RetryAction action = RetryAction::kFinish;
  Duration backoff{};  ///< Time to wait before the action.
};

class RetryState {
 public:
  RetryState(const RetryOptions& options, RetryBudget& budget)
      : options_(options), budget_(budget) {}

  /// An attempt is about to be sent.
  void OnAttempt();
  /// Part of the response was sent to the client and can not be resumed: no more retries.
  void OnCommitted() { committed_ = true; }
  /// An attempt ended. Takes a retry from the budget if the decision uses one.
  /// @param repeatable whether the call may run twice, that is, whether it is idempotent.
  /// @param random a random number, for the jitter of the backoff.
  RetryDecision Decide(AttemptEnd end, bool repeatable, std::uint64_t random);

  /// Whether an attempt that may have run could be followed by another one now, if the call is
  /// idempotent.
  bool CanRetry() const;

  /// Whether the call ran, as far as the ended attempts show.
  proto::Executed executed() const { return executed_; }
  std::uint32_t attempts() const { return attempts_; }

 private:
  Duration Backoff(std::uint64_t random) const;

  const RetryOptions& options_;
  RetryBudget& budget_;
  std::uint32_t attempts_ = 0;
  std::uint32_t attempts_since_wait_ = 0;  ///< Since the start, or since the last kWaitForCapacity.
  std::uint32_t retries_ = 0;              ///< After attempts that may have run.
  bool committed_ = false;
  proto::Executed executed_ = proto::EXECUTED_NO;
};

}  // namespace cloverbank

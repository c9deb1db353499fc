#pragma once
/// @file
/// Whether a call may be retried after an attempt, and whether it may have run. Pure. `RetryState`
/// belongs to one call, `RetryBudget` to all calls of a gateway.
///
/// Invariant: a non-idempotent call is never sent again after bytes of it were sent, unless the
/// replica refused it before running it.

#include <cstdint>

#include "base/time.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// How one attempt at a replica ended.
enum class AttemptEnd : std::uint8_t {
  kComplete,  ///< A complete, checked response.
  kNotRun,    ///< Certainly not run: nothing was sent, or the replica refused it.
  kRejected,  ///< The replica found the request invalid: not run, and others would reject it too.
  kUnknown,   ///< Bytes were sent, and it may have run.
  kFailed,    ///< The replica reported that it ran and failed.
};

struct RetryOptions {
  std::uint32_t maximum_attempts =
      3;  ///< Of all kinds together, before the call waits in the queue.
  /// Replicas that may refuse a call before it waits, where that is more.
  std::uint32_t maximum_refusals = 0;
  double budget_ratio = 0.2;   ///< Retries allowed for each first attempt.
  double budget_reserve = 10;  ///< Retries allowed without any.
  /// Whether retries use the budget; those of batch work are bounded by its capacity.
  bool budgeted = true;
  Duration base_backoff = milliseconds(20);
  Duration maximum_backoff = milliseconds(500);
};

/// Keeps retries a bounded share of all calls, so that an outage is not made worse by them.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options)
      : tokens_per_call_(options.budget_ratio),
        maximum_tokens_(options.budget_reserve),
        tokens_(maximum_tokens_) {}

  /// A call was sent for the first time.
  void OnFirstAttempt();
  /// Whether a retry could be made now.
  bool HasRetry() const { return tokens_ >= 1; }
  /// @return whether a retry may be made now; takes it from the budget.
  bool ConsumeRetry();

 private:
  double tokens_per_call_;
  double maximum_tokens_;
  double tokens_;
};

enum class RetryAction : std::uint8_t {
  kFinish,            ///< Respond to the client.
  kSendElsewhere,     ///< Immediately, to another replica.
  kSendAfterBackoff,  ///< After a backoff.
  kWaitForCapacity,   ///< Not run so far: waits in the queue until a replica has capacity.
};

struct RetryDecision {
  RetryAction action = RetryAction::kFinish;
  Duration backoff{};
};

class RetryState {
 public:
  RetryState(const RetryOptions& options, RetryBudget& budget)
      : options_(options), budget_(budget) {}

  /// An attempt is about to be sent.
  void OnAttempt();
  /// Part of the response was sent to the client: no more retries.
  void OnCommitted() { committed_ = true; }
  /// An attempt ended. @param repeatable whether the route allows the call to be carried out twice.
  /// @param random for the jitter of the backoff.
  RetryDecision Decide(AttemptEnd end, bool repeatable, std::uint64_t random);

  /// Whether an attempt that may have run could be followed by another one now.
  bool CanRetry() const;

  /// Whether the call may have run, if it ends without a complete response now.
  proto::Executed executed() const { return executed_; }
  std::uint32_t attempts() const { return attempts_; }

 private:
  Duration Backoff(std::uint64_t random) const;

  const RetryOptions& options_;
  RetryBudget& budget_;
  std::uint32_t attempts_ = 0;
  std::uint32_t attempts_since_wait_ = 0;
  std::uint32_t retries_ = 0;
  bool committed_ = false;
  proto::Executed executed_ = proto::EXECUTED_NO;
};

}  // namespace cloverbank

#include "calls/retry_policy.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// Bounds the shift that doubles the backoff.
constexpr std::uint32_t kMaximumBackoffExponent = 16;

}  // namespace

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kComplete:
      return "complete";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kRejected:
      return "rejected";
    case AttemptEnd::kUnknown:
      return "unknown";
    case AttemptEnd::kFailed:
      return "failed";
  }
  return "unknown";
}

void RetryBudget::OnFirstAttempt() {
  tokens_ = std::min(maximum_tokens_, tokens_ + tokens_per_call_);
}

bool RetryBudget::ConsumeRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RetryState::OnAttempt() {
  if (attempts_ == 0) {
    budget_.OnFirstAttempt();
  }
  ++attempts_;
  ++attempts_since_wait_;
}

RetryDecision RetryState::Decide(AttemptEnd end, bool repeatable, std::uint64_t random) {
  const bool attempts_left = attempts_since_wait_ < options_.maximum_attempts;
  switch (end) {
    case AttemptEnd::kComplete:
      executed_ = proto::EXECUTED_YES;
      return {};
    case AttemptEnd::kRejected:
      return {};
    case AttemptEnd::kNotRun:
      if (committed_) {
        return {};
      }
      if (attempts_left || attempts_since_wait_ < options_.maximum_refusals) {
        return {RetryAction::kSendElsewhere, {}};
      }
      attempts_since_wait_ = 0;
      return {RetryAction::kWaitForCapacity, Backoff(random)};
    case AttemptEnd::kUnknown:
      executed_ = proto::EXECUTED_UNKNOWN;
      break;
    case AttemptEnd::kFailed:
      executed_ = executed_ == proto::EXECUTED_UNKNOWN ? executed_ : proto::EXECUTED_YES;
      break;
  }
  if (!repeatable || !CanRetry() || (options_.budgeted && !budget_.ConsumeRetry())) {
    return {};
  }
  ++retries_;
  return {RetryAction::kSendAfterBackoff, Backoff(random)};
}

bool RetryState::CanRetry() const {
  // Where `maximum_refusals` is set, `maximum_attempts` limits runs only: a replica that refused
  // the call did not run it, so that attempt does not count.
  const bool count_refusals = options_.maximum_refusals == 0;
  const bool attempts_left = !count_refusals || attempts_since_wait_ < options_.maximum_attempts;
  return !committed_ && attempts_left && retries_ + 1 < options_.maximum_attempts &&
         (!options_.budgeted || budget_.HasRetry());
}

Duration RetryState::Backoff(std::uint64_t random) const {
  const std::uint32_t exponent = std::min(retries_, kMaximumBackoffExponent);
  const Duration maximum =
      std::min(options_.maximum_backoff, options_.base_backoff * (std::int64_t{1} << exponent));
  // Full jitter, from zero to the maximum, spreads the retries of calls that failed together.
  const auto maximum_count = static_cast<std::uint64_t>(maximum.count());
  return Duration(static_cast<std::int64_t>(random % (maximum_count + 1)));
}

}  // namespace cloverbank

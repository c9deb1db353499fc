#include "calls/retry_policy.h"

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::uint32_t kLargestDoubling = 16;

}  // namespace

void RetryBudget::OnFirstAttempt() { tokens_ = std::min(cap_, tokens_ + ratio_); }

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
  return {RetryAction::kSendLater, Backoff(random)};
}

bool RetryState::CanRetry() const {
  // Refusals do not count where a call has attempts of its own: nothing ran there.
  const bool counted = options_.maximum_refusals == 0;
  const bool attempts_left = !counted || attempts_since_wait_ < options_.maximum_attempts;
  return !committed_ && attempts_left && retries_ + 1 < options_.maximum_attempts &&
         (!options_.budgeted || budget_.HasRetry());
}

Duration RetryState::Backoff(std::uint64_t random) const {
  const std::uint32_t doubling = std::min(retries_, kLargestDoubling);
  const Duration longest =
      std::min(options_.maximum_backoff, options_.base_backoff * (std::int64_t{1} << doubling));
  // Full jitter: spreads the retries of calls that failed together.
  const auto span = static_cast<std::uint64_t>(longest.count());
  return Duration(static_cast<std::int64_t>(random % (span + 1)));
}

}  // namespace cloverbank

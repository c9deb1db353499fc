#include "calls/retry_policy.h"

#include <gtest/gtest.h>

#include <random>

namespace cloverbank {
namespace {

TEST(RetryStateTest, NeverRetriesNonIdempotentCallsThatMayHaveRun) {
  const RetryOptions options;
  std::mt19937_64 random(9);
  for (int round = 0; round < 20'000; ++round) {
    RetryBudget budget(options);
    RetryState state(options, budget);
    const bool repeatable = random() % 2 == 0;
    bool may_have_run = false;
    std::uint32_t runs = 0;
    for (int attempt = 0; attempt < 10; ++attempt) {
      state.OnAttempt();
      if (random() % 10 == 0) {
        state.OnCommitted();
        may_have_run = true;
      }
      const auto end = static_cast<AttemptEnd>(random() % 5);
      const bool ran = end == AttemptEnd::kUnknown || end == AttemptEnd::kFailed;
      may_have_run = may_have_run || ran;
      runs += ran ? 1 : 0;
      const RetryDecision decision = state.Decide(end, repeatable, random());
      ASSERT_LE(decision.backoff, options.maximum_backoff);
      if (decision.action == RetryAction::kFinish) {
        break;
      }
      ASSERT_TRUE(repeatable || !may_have_run);
      ASSERT_LT(runs, options.maximum_attempts);
    }
    if (runs > 0) {
      ASSERT_NE(state.executed(), proto::EXECUTED_NO);
    }
  }
}

TEST(RetryBudgetTest, LimitsRetriesToAShareOfCalls) {
  const RetryOptions options;
  RetryBudget budget(options);
  int retries = 0;
  for (int call = 0; call < 10'000; ++call) {
    budget.OnFirstAttempt();
    retries += budget.ConsumeRetry() ? 1 : 0;
    retries += budget.ConsumeRetry() ? 1 : 0;
  }
  EXPECT_LE(retries, 10'000 * options.budget_ratio + options.budget_reserve);
  EXPECT_GE(retries, 1900);
}

}  // namespace
}  // namespace cloverbank

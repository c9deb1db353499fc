#include <gtest/gtest.h>

#include <map>
#include <random>

#include "admission/admission_control.h"
#include "calls/idempotency_cache.h"
#include "calls/line_reader.h"
#include "calls/retry_policy.h"

namespace cloverbank {
namespace {

const TimePoint start_time = TimePoint(seconds(1000));

WaitingCall Waiting(WaitId id, proto::Priority priority, Duration wait) {
  return {id, "model", priority, start_time + wait, 1000};
}

TEST(TokenBucketTest, NeverGivesMoreThanRateAndBurst) {
  TokenBucket bucket;
  std::mt19937_64 random(3);
  TimePoint now = start_time;
  int taken = 0;
  for (int step = 0; step < 20'000; ++step) {
    now += std::chrono::microseconds(random() % 4000);
    const Duration wait = bucket.Acquire(50, seconds(1), now);
    taken += wait == Duration::zero() ? 1 : 0;
    ASSERT_LE(wait, milliseconds(21));
    ASSERT_LE(taken, 50 + std::chrono::duration<double>(now - start_time).count() * 50 + 1);
  }
  EXPECT_GT(taken, 1900);  // About 40 s at 50 a second.
}

TEST(AdmissionControlTest, ServesByPriorityThenDeadline) {
  AdmissionControl admission({});
  std::vector<WaitId> displaced;
  admission.Enqueue(Waiting(1, proto::PRIORITY_STANDARD, milliseconds(900)), start_time,
                    &displaced);
  admission.Enqueue(Waiting(2, proto::PRIORITY_STANDARD, milliseconds(500)), start_time,
                    &displaced);
  admission.Enqueue(Waiting(3, proto::PRIORITY_INTERACTIVE, seconds(2)), start_time, &displaced);
  EXPECT_EQ(admission.FirstWaiting("model", 9), (std::vector<WaitId>{3, 2, 1}));
  EXPECT_EQ(admission.NextExpiry(), start_time + milliseconds(500));
  EXPECT_EQ(admission.TakeExpired(start_time + milliseconds(600)), std::vector<WaitId>{2});
  EXPECT_TRUE(admission.Remove(3));
  EXPECT_FALSE(admission.Remove(3));
  EXPECT_EQ(admission.waiting(), 1U);
}

TEST(AdmissionControlTest, AFullQueueGivesWayToHigherPriorityOnly) {
  AdmissionOptions options;
  options.queue_length = 2;
  AdmissionControl admission(options);
  std::vector<WaitId> displaced;
  admission.Enqueue(Waiting(1, proto::PRIORITY_STANDARD, seconds(1)), start_time, &displaced);
  admission.Enqueue(Waiting(2, proto::PRIORITY_STANDARD, seconds(2)), start_time, &displaced);
  const auto refused = admission.Enqueue(Waiting(3, proto::PRIORITY_STANDARD, milliseconds(1)),
                                         start_time, &displaced);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->refusal, Refusal::kQueueFull);
  EXPECT_GT(refused->retry_after, Duration::zero());
  EXPECT_FALSE(
      admission.Enqueue(Waiting(4, proto::PRIORITY_INTERACTIVE, seconds(1)), start_time, &displaced)
          .has_value());
  EXPECT_EQ(displaced, std::vector<WaitId>{2});
}

TEST(AdmissionControlTest, RefusesEarlyWhatWouldWaitTooLong) {
  AdmissionControl admission({});
  std::vector<WaitId> displaced;
  for (WaitId id = 1; id <= 50; ++id) {
    admission.Enqueue(Waiting(id, proto::PRIORITY_STANDARD, seconds(3)), start_time, &displaced);
  }
  for (WaitId id = 1; id <= 10; ++id) {  // 10 a second.
    admission.Serve(id, start_time + milliseconds(100) * static_cast<int>(id));
  }
  const TimePoint now = start_time + seconds(1);
  WaitingCall late = Waiting(60, proto::PRIORITY_STANDARD, seconds(3));
  const auto refused = admission.Enqueue(late, now, &displaced);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->refusal, Refusal::kQueueTooSlow);
  late.priority = proto::PRIORITY_INTERACTIVE;  // Goes before the others, so in time.
  EXPECT_FALSE(admission.Enqueue(late, now, &displaced).has_value());
}

TEST(AdmissionControlTest, RandomCrowdKeepsEveryBound) {
  AdmissionOptions options;
  options.queue_length = 20;
  options.total_queue_length = 30;
  options.queue_bytes = 25'000;
  AdmissionControl admission(options);
  std::mt19937_64 random(7);
  std::map<WaitId, TimePoint> inside;
  TimePoint now = start_time;
  for (WaitId id = 1; id < 50'000; ++id) {
    now += milliseconds(random() % 4);
    for (const WaitId expired : admission.TakeExpired(now)) {
      ASSERT_LE(inside.at(expired), now);
      inside.erase(expired);
    }
    WaitingCall call = Waiting(id, static_cast<proto::Priority>(random() % 4), {});
    call.backend = random() % 2 == 0 ? "model" : "other";
    call.wait_deadline = now + milliseconds(1 + random() % 5000);
    std::vector<WaitId> displaced;
    const auto refused = admission.Enqueue(call, now, &displaced);
    for (const WaitId gone : displaced) {
      ASSERT_EQ(inside.erase(gone), 1U);
    }
    if (!refused) {
      inside[id] = std::min(call.wait_deadline, now + options.longest_wait);
    }
    if (random() % 8 == 0) {
      for (const WaitId first : admission.FirstWaiting(call.backend, 1)) {
        ASSERT_TRUE(admission.Serve(first, now));
        ASSERT_EQ(inside.erase(first), 1U);
      }
    }
    ASSERT_LE(admission.Waiting("model"), options.queue_length);
    ASSERT_LE(admission.waiting(), options.total_queue_length);
    ASSERT_EQ(admission.waiting(), inside.size());
    ASSERT_LE(admission.waiting_bytes(), options.queue_bytes);
    ASSERT_EQ(admission.waiting_bytes(), 1000 * inside.size());
  }
}

TEST(RetryStateTest, NothingThatMayHaveRunIsRepeatedUnlessAllowed) {
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

TEST(RetryBudgetTest, RetriesStayAShareOfTheCalls) {
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

TEST(IdempotencyCacheTest, KeepsAnswersWithinItsBounds) {
  IdempotencyOptions options;
  options.maximum_total_bytes = 10'000;
  options.maximum_response_bytes = 1000;
  IdempotencyCache cache(options);
  TimePoint now = start_time;
  int waited = 0;
  CachedResponse answer;
  answer.succeeded = true;
  answer.answer.set_text(std::string(500, 'x'));
  for (int key = 0; key < 100; ++key) {
    const std::string name = std::to_string(key);
    ASSERT_EQ(cache.Begin(name, 1, now), KeyState::kNew);
    ASSERT_EQ(cache.Begin(name, 1, now), KeyState::kRunning);
    ASSERT_EQ(cache.Begin(name, 2, now), KeyState::kMismatch);
    cache.Join(name, [&](const CachedResponse&) { ++waited; });
    cache.Store(name, answer, now);
    ASSERT_LE(cache.cached_bytes(), options.maximum_total_bytes);
  }
  EXPECT_EQ(waited, 100);
  EXPECT_EQ(cache.Begin("99", 1, now), KeyState::kFinished);
  EXPECT_EQ(cache.Begin("0", 1, now), KeyState::kNew);  // Dropped for room.
  answer.answer.set_text(std::string(2000, 'x'));
  cache.Store("0", answer, now);
  EXPECT_FALSE(cache.Find("0")->text_cached);
  now += options.retention;
  EXPECT_EQ(cache.Begin("99", 1, now), KeyState::kNew);
  cache.Forget("99", {});
  EXPECT_EQ(cache.size(), 0U);
  EXPECT_EQ(cache.cached_bytes(), 0U);
}

TEST(LineReaderTest, CutsLinesHoweverTheyArrive) {
  const std::string_view body = "one\n\ntwo\r\nthree";
  for (std::size_t step = 1; step <= body.size(); ++step) {
    LineReader reader(8);
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < body.size(); at += step) {
      reader.Append(body.substr(at, step));
      while (const auto line = reader.Next()) {
        lines.push_back(*line);
      }
    }
    EXPECT_EQ(lines, (std::vector<std::string>{"one", "two"}));
    EXPECT_FALSE(reader.IsTooLong());
    EXPECT_EQ(reader.TakeRest(), "three");
  }
  LineReader reader(4);
  reader.Append("12345");
  EXPECT_FALSE(reader.Next().has_value());
  EXPECT_TRUE(reader.IsTooLong());
}

}  // namespace
}  // namespace cloverbank

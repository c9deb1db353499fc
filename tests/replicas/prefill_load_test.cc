#include "replicas/prefill_load.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

PrefillOptions Options() {
  PrefillOptions options;
  options.initial_tokens_per_ms = 100;
  options.keys_per_replica = 2;
  return options;
}

class PrefillLoadTest : public ::testing::Test {
 protected:
  TimePoint now_ = TimePoint(seconds(1000));
  PrefillLoad load_{Options()};
};

TEST_F(PrefillLoadTest, BacklogAddsUpAndShrinksWithTime) {
  load_.OnStart("r", 10'000, 0, now_);
  load_.OnStart("r", 5'000, 0, now_);
  EXPECT_EQ(load_.Backlog("r", now_), milliseconds(150));
  EXPECT_EQ(load_.Backlog("r", now_ + milliseconds(100)), milliseconds(50));
  EXPECT_EQ(load_.Backlog("r", now_ + seconds(1)), Duration::zero());
  EXPECT_EQ(load_.Backlog("other", now_), Duration::zero());
}

TEST_F(PrefillLoadTest, DoesNotCountCachedPrefixes) {
  const PromptShape shape{1000, 600, 42};
  EXPECT_EQ(load_.TokensToPrefill("r", shape, /*preferred=*/false), 1000U);
  EXPECT_EQ(load_.TokensToPrefill("r", shape, /*preferred=*/true), 400U);
  load_.OnStart("r", 1000, 42, now_);
  EXPECT_EQ(load_.TokensToPrefill("r", shape, false), 400U);
  EXPECT_EQ(load_.TokensToPrefill("other", shape, false), 1000U);
}

TEST_F(PrefillLoadTest, DropsTheLeastRecentlyUsedKey) {
  for (const std::uint64_t key : {1U, 2U, 1U, 3U}) {
    load_.OnStart("r", 10, key, now_);
  }
  EXPECT_EQ(load_.TokensToPrefill("r", {100, 50, 1}, false), 50U);
  EXPECT_EQ(load_.TokensToPrefill("r", {100, 50, 2}, false), 100U);
  EXPECT_EQ(load_.TokensToPrefill("r", {100, 50, 3}, false), 50U);
}

TEST_F(PrefillLoadTest, LearnsThroughputFromUndelayedResponses) {
  const Duration fixed = Options().initial_fixed_latency;
  load_.AddReplica("slow", "model");
  load_.AddReplica("fast", "model");
  for (int sample = 0; sample < 40; ++sample) {
    load_.OnFirstByte("slow", 8'000, Duration::zero(), fixed + milliseconds(160), now_);
    load_.OnFirstByte("fast", 8'000, Duration::zero(), fixed + milliseconds(40), now_);
  }
  EXPECT_NEAR(load_.TokensPerMillisecond("slow", 8'000), 50, 1);
  EXPECT_NEAR(load_.TokensPerMillisecond("fast", 8'000), 200, 1);
}

TEST_F(PrefillLoadTest, AssumesThePeersThroughputAtFirst) {
  const Duration fixed = Options().initial_fixed_latency;
  load_.AddReplica("known", "model");
  load_.AddReplica("new", "model");
  load_.AddReplica("foreign", "other-model");
  for (int sample = 0; sample < 40; ++sample) {
    load_.OnFirstByte("known", 8'000, Duration::zero(), fixed + milliseconds(160), now_);
  }
  EXPECT_NEAR(load_.TokensPerMillisecond("new", 8'000), 50, 1);
  EXPECT_EQ(load_.TokensPerMillisecond("foreign", 8'000), 100);
}

TEST_F(PrefillLoadTest, IgnoresShortAndDelayedSamples) {
  const Duration fixed = Options().initial_fixed_latency;
  for (int sample = 0; sample < 40; ++sample) {
    load_.OnFirstByte("r", 8'000, milliseconds(100), fixed + milliseconds(160), now_);
    load_.OnFirstByte("r", 100, Duration::zero(), fixed + milliseconds(160), now_);
  }
  EXPECT_EQ(load_.TokensPerMillisecond("r", 8'000), 100);
}

TEST_F(PrefillLoadTest, DelayedResponsesDoNotLowerThroughput) {
  const Duration fixed = Options().initial_fixed_latency;
  for (int sample = 0; sample < 60; ++sample) {
    const Duration delay = sample % 2 == 0 ? milliseconds(300) : Duration::zero();
    load_.OnFirstByte("r", 8'000, Duration::zero(), fixed + milliseconds(160) + delay, now_);
  }
  EXPECT_NEAR(load_.TokensPerMillisecond("r", 8'000), 50, 1);
}

TEST_F(PrefillLoadTest, LearnsTheFixedLatency) {
  for (const Duration fixed : {milliseconds(2), milliseconds(30)}) {
    for (int sample = 0; sample < 40; ++sample) {
      load_.OnFirstByte("r", 200, Duration::zero(), fixed + milliseconds(4), now_);
      load_.OnFirstByte("r", 8'000, Duration::zero(), fixed + milliseconds(160), now_);
    }
    const auto learned = std::chrono::duration<double, std::milli>(load_.FixedLatency("r"));
    const auto expected = std::chrono::duration<double, std::milli>(fixed);
    EXPECT_NEAR(learned.count(), expected.count(), 0.5);
    EXPECT_NEAR(load_.TokensPerMillisecond("r", 8'000), 50, 1);
  }
}

TEST_F(PrefillLoadTest, ExpectsLongPromptsAfterARecentOne) {
  load_.AddReplica("r", "model");
  load_.AddReplica("peer", "model");
  load_.AddReplica("foreign", "other-model");
  load_.OnStart("r", 1'000, 0, now_);
  EXPECT_FALSE(load_.ExpectsLongPrompts("r", now_));
  load_.OnStart("r", 30'000, 0, now_);
  EXPECT_TRUE(load_.ExpectsLongPrompts("r", now_));
  EXPECT_TRUE(load_.ExpectsLongPrompts("peer", now_));
  EXPECT_FALSE(load_.ExpectsLongPrompts("foreign", now_));
  const Duration expected = Options().long_prompts_expected_for;
  EXPECT_TRUE(load_.ExpectsLongPrompts("peer", now_ + expected));
  EXPECT_FALSE(load_.ExpectsLongPrompts("peer", now_ + expected + milliseconds(1)));
}

TEST_F(PrefillLoadTest, RecentLoadDecays) {
  load_.OnStart("r", 10'000, 0, now_);
  EXPECT_EQ(load_.RecentLoad("r", now_), milliseconds(100));
  EXPECT_EQ(load_.RecentLoad("r", now_ + Options().recent_load_half_life), milliseconds(50));
  load_.OnStart("r", 10'000, 0, now_ + Options().recent_load_half_life);
  EXPECT_EQ(load_.RecentLoad("r", now_ + Options().recent_load_half_life), milliseconds(150));
  EXPECT_EQ(load_.RecentLoad("other", now_), Duration::zero());
}

TEST_F(PrefillLoadTest, IgnoresDelaysWithinTheTolerance) {
  const Duration expected = milliseconds(1) + Options().initial_fixed_latency;
  load_.OnFirstByte("r", 100, Duration::zero(), expected + Options().delay_tolerance, now_);
  EXPECT_EQ(load_.Backlog("r", now_), Duration::zero());
}

TEST_F(PrefillLoadTest, UnexpectedDelayCountsAsBacklogAndDecays) {
  load_.OnFirstByte("r", 100, Duration::zero(), milliseconds(213) + Options().delay_tolerance,
                    now_);
  const Duration initial = load_.Backlog("r", now_);
  EXPECT_EQ(initial, milliseconds(100));
  const Duration later = load_.Backlog("r", now_ + Options().delay_half_life);
  EXPECT_EQ(later, milliseconds(50));
}

}  // namespace
}  // namespace cloverbank

#include "token_quota/drain_rate.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr TimePoint kStart{seconds(100)};

TEST(DrainRateTest, IsUnknownAfterOneCount) {
  DrainRate rate;
  rate.Update(1'000, 0, kStart);
  EXPECT_FALSE(rate.EstimateTime(100).has_value());
}

TEST(DrainRateTest, GrantedTokensDoNotHideFinishedOnes) {
  DrainRate rate;
  rate.Update(1'000, 0, kStart);
  rate.Update(1'000, 50, kStart + milliseconds(100));
  ASSERT_TRUE(rate.EstimateTime(500).has_value());
  EXPECT_EQ(*rate.EstimateTime(500), seconds(1));
}

TEST(DrainRateTest, SmoothsAChangeOfRate) {
  DrainRate rate;
  std::uint64_t open = 100'000;
  TimePoint now = kStart;
  rate.Update(open, 0, now);
  for (const std::uint64_t finished : {100U, 100U, 100U}) {
    open -= finished;
    now += milliseconds(100);
    rate.Update(open, 0, now);
  }
  EXPECT_EQ(*rate.EstimateTime(1'000), seconds(1));
  for (int count = 0; count < 20; ++count) {
    open -= 200;
    now += milliseconds(100);
    rate.Update(open, 0, now);
  }
  EXPECT_NEAR(std::chrono::duration<double>(*rate.EstimateTime(1'000)).count(), 0.5, 0.01);
}

TEST(DrainRateTest, IsUnknownAfterALongPause) {
  DrainRate rate;
  rate.Update(1'000, 0, kStart);
  rate.Update(900, 0, kStart + milliseconds(100));
  EXPECT_TRUE(rate.EstimateTime(100).has_value());
  rate.Update(0, 0, kStart + seconds(10));
  EXPECT_FALSE(rate.EstimateTime(100).has_value());
}

}  // namespace
}  // namespace cloverbank

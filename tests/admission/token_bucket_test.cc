#include "admission/token_bucket.h"

#include <gtest/gtest.h>

#include <random>

namespace cloverbank {
namespace {

const TimePoint start_time = TimePoint(seconds(1000));

TEST(TokenBucketTest, NeverExceedsRateAndBurst) {
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
  EXPECT_GT(taken, 1900);  // About 40 s at 50 calls per second.
}

}  // namespace
}  // namespace cloverbank

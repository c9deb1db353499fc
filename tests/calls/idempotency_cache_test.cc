#include "calls/idempotency_cache.h"

#include <gtest/gtest.h>

#include <string>

namespace cloverbank {
namespace {

const TimePoint start_time = TimePoint(seconds(1000));

TEST(IdempotencyCacheTest, KeepsResponsesWithinSizeAndTimeLimits) {
  IdempotencyOptions options;
  options.maximum_total_bytes = 10'000;
  options.maximum_response_bytes = 1000;
  IdempotencyCache cache(options);
  TimePoint now = start_time;
  int waiters_run = 0;
  CachedResponse response;
  response.succeeded = true;
  response.answer.set_text(std::string(500, 'x'));
  for (int key = 0; key < 100; ++key) {
    const std::string name = std::to_string(key);
    ASSERT_EQ(cache.Begin(name, 1, now), KeyState::kNew);
    ASSERT_EQ(cache.Begin(name, 1, now), KeyState::kRunning);
    ASSERT_EQ(cache.Begin(name, 2, now), KeyState::kMismatch);
    cache.Join(name, [&](const CachedResponse&) { ++waiters_run; });
    cache.Store(name, response, now);
    ASSERT_LE(cache.cached_bytes(), options.maximum_total_bytes);
  }
  EXPECT_EQ(waiters_run, 100);
  EXPECT_EQ(cache.Begin("99", 1, now), KeyState::kFinished);
  EXPECT_EQ(cache.Begin("0", 1, now), KeyState::kNew);  // Evicted by newer entries.
  response.answer.set_text(std::string(2000, 'x'));
  cache.Store("0", response, now);
  EXPECT_FALSE(cache.Find("0")->text_cached);
  now += options.retention;
  EXPECT_EQ(cache.Begin("99", 1, now), KeyState::kNew);
  cache.Forget("99", {});
  EXPECT_EQ(cache.size(), 0U);
  EXPECT_EQ(cache.cached_bytes(), 0U);
}

}  // namespace
}  // namespace cloverbank

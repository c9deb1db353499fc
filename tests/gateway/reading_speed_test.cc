#include "gateway/reading_rate.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

TEST(ReadingRateTest, IsNotKnownFromAFewSamples) {
  ReadingRate rate;
  for (std::size_t sample = 1; sample < ReadingRate::kLeastSamples; ++sample) {
    rate.Add(100);
    EXPECT_FALSE(rate.known());
    EXPECT_EQ(rate.tokens_per_ms(), 0);
  }
  rate.Add(100);
  EXPECT_TRUE(rate.known());
  EXPECT_EQ(rate.tokens_per_ms(), 100);
}

TEST(ReadingRateTest, SlowAnswersAmongFastOnesHardlyCount) {
  ReadingRate rate;
  for (int sample = 0; sample < 30; ++sample) {
    rate.Add(sample % 2 == 0 ? 100 : 5);
  }
  EXPECT_EQ(rate.tokens_per_ms(), 100);
}

TEST(ReadingRateTest, OneAnswerFasterThanTheOthersDoesNotSetTheRate) {
  ReadingRate rate;
  for (int sample = 0; sample < 15; ++sample) {
    rate.Add(100);
  }
  rate.Add(1000);
  EXPECT_EQ(rate.tokens_per_ms(), 100);
}

TEST(ReadingRateTest, FollowsAReplicaThatBecameSlower) {
  ReadingRate rate;
  for (int sample = 0; sample < 16; ++sample) {
    rate.Add(100);
  }
  for (int sample = 0; sample < 16; ++sample) {
    rate.Add(40);
  }
  EXPECT_EQ(rate.tokens_per_ms(), 40);
}

}  // namespace
}  // namespace cloverbank

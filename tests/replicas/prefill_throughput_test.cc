#include "replicas/prefill_throughput.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr std::uint32_t kShort = 1'500;
constexpr std::uint32_t kLong = 30'000;

TEST(RecentQuantileTest, HasNoValueFromTooFewSamples) {
  RecentQuantile quantile(2);
  for (std::size_t sample = 1; sample < RecentQuantile::kMinimumSamples; ++sample) {
    quantile.Add(100);
    EXPECT_FALSE(quantile.value().has_value());
  }
  quantile.Add(100);
  EXPECT_EQ(quantile.value(), 100);
}

TEST(RecentQuantileTest, LowAndHighQuantilesDiffer) {
  RecentQuantile low(1);
  RecentQuantile high(2);
  for (int sample = 1; sample <= 16; ++sample) {
    low.Add(sample);
    high.Add(sample);
  }
  EXPECT_EQ(low.value(), 6);
  EXPECT_EQ(high.value(), 11);
}

TEST(PrefillThroughputTest, IgnoresSlowSamplesAmongFastOnes) {
  PrefillThroughput throughput;
  for (int sample = 0; sample < 30; ++sample) {
    throughput.Add(kShort, sample % 2 == 0 ? 100 : 5);
  }
  EXPECT_EQ(throughput.TokensPerMillisecond(kShort), 100);
}

TEST(PrefillThroughputTest, IgnoresASingleFastOutlier) {
  PrefillThroughput throughput;
  for (int sample = 0; sample < 15; ++sample) {
    throughput.Add(kShort, 100);
  }
  throughput.Add(kShort, 1000);
  EXPECT_EQ(throughput.TokensPerMillisecond(kShort), 100);
}

TEST(PrefillThroughputTest, FollowsAReplicaThatBecameSlower) {
  PrefillThroughput throughput;
  for (int sample = 0; sample < 16; ++sample) {
    throughput.Add(kShort, 100);
  }
  for (int sample = 0; sample < 16; ++sample) {
    throughput.Add(kShort, 40);
  }
  EXPECT_EQ(throughput.TokensPerMillisecond(kShort), 40);
}

TEST(PrefillThroughputTest, LongPromptsHaveTheirOwnThroughput) {
  PrefillThroughput throughput;
  EXPECT_FALSE(throughput.TokensPerMillisecond(kShort).has_value());
  for (int sample = 0; sample < 16; ++sample) {
    throughput.Add(kShort, 160);
  }
  EXPECT_EQ(throughput.TokensPerMillisecond(kLong), 160)
      << "of the nearest length class with samples";
  for (int sample = 0; sample < 16; ++sample) {
    throughput.Add(kLong, 90);
  }
  EXPECT_EQ(throughput.TokensPerMillisecond(kLong), 90);
  EXPECT_EQ(throughput.TokensPerMillisecond(kShort), 160);
}

}  // namespace
}  // namespace cloverbank

// Quotas of a replica's capacity, and the rate of calls that all gateways together send to a
// replica that is warming up.
#include "replicas/gateway_quota.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "replicas/slow_start.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kFew = 3;
constexpr std::uint32_t kMany = 58;

std::vector<GatewayQuota> QuotasOfZone(const std::string& zone, std::uint32_t count) {
  std::vector<GatewayQuota> quotas;
  for (std::uint32_t index = 0; index < count; ++index) {
    quotas.push_back({zone, {index, count}, {}});
  }
  return quotas;
}

TEST(GatewayQuotaTest, SlotQuotasAddUpToAllSlots) {
  for (const std::uint32_t count : {1U, kFew, 12U, kMany}) {
    for (std::uint32_t replica = 0; replica < 50; ++replica) {
      std::uint32_t sum = 0;
      for (const GatewayQuota& quota : QuotasOfZone("a", count)) {
        sum += quota.SlotsFor("r" + std::to_string(replica), "a", 10);
      }
      EXPECT_EQ(sum, 10U) << count << " gateways";
    }
  }
}

TEST(GatewayQuotaTest, EachGatewayGetsItsPartOfManyReplicas) {
  for (const GatewayQuota& quota : QuotasOfZone("a", kMany)) {
    std::uint32_t slots = 0;
    for (std::uint32_t replica = 0; replica < 500; ++replica) {
      slots += quota.SlotsFor("r" + std::to_string(replica), "a", 10);
    }
    EXPECT_NEAR(slots, 500.0 * 10 / kMany, 45);
  }
}

TEST(GatewayQuotaTest, HasNoQuotaOfReplicasInOtherZones) {
  const GatewayQuota quota{"a", {0, kFew}, {}};
  EXPECT_EQ(quota.SlotsFor("r", "b", 10), 0U);
  EXPECT_EQ(quota.RateFor("r", "b", 30), 0);
}

// Guards against replicas whose zone has no gateway being in no gateway's quota: batch items would
// never run there (KNOWN-RED 15).
TEST(GatewayQuotaTest, GatewaysOfOtherZonesDivideTheSlotsOfAZoneWithoutGateways) {
  constexpr std::uint32_t kSlots = 10;
  for (const std::uint32_t count : {1U, kFew, kMany}) {
    std::uint32_t sum = 0;
    std::vector<bool> turns(count, false);
    for (std::uint32_t index = 0; index < count; ++index) {
      const GatewayQuota quota{index % 2 == 0 ? "a" : "b", {0, 1}, {{"c", {index, count}}}};
      sum += quota.SlotsFor("r", "c", kSlots);
      turns[quota.TurnFor("r", "c")] = true;
      EXPECT_EQ(quota.SlotsFor("r", "d", kSlots), 0U) << "another zone";
    }
    EXPECT_EQ(sum, kSlots) << count << " gateways";
    EXPECT_EQ(std::count(turns.begin(), turns.end(), true), count) << "each has a turn of its own";
  }
}

TEST(GatewayQuotaTest, RateQuotasAddUpToTheRate) {
  for (const std::uint32_t count : {1U, kFew, 12U, kMany}) {
    for (const double rate : {1.0, 13.0, 31.0}) {
      double sum = 0;
      for (const GatewayQuota& quota : QuotasOfZone("a", count)) {
        const double quota_rate = quota.RateFor("r", "a", rate);
        EXPECT_TRUE(quota_rate == 0 || quota_rate >= 2 || rate < 2) << quota_rate;
        sum += quota_rate;
      }
      EXPECT_NEAR(sum, rate, 1e-9);
    }
  }
}

/// Calls to one replica that is warming up, from gateways that always have a call to send.
class SlowStartReplicaTest : public testing::TestWithParam<std::uint32_t> {
 protected:
  static constexpr double kPerSecond = 13;

  void SetWarmingUpEverywhere() {
    for (const GatewayQuota& quota : QuotasOfZone("a", GetParam())) {
      gateways_.emplace_back().SetWarmingUp("r", quota.RateFor("r", "a", kPerSecond),
                                            now_ + seconds(30), now_);
    }
  }
  void RunFor(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += milliseconds(1)) {
      for (SlowStart& gateway : gateways_) {
        if (gateway.CanStart("r", now_)) {
          gateway.OnStart("r", now_);
          starts_.push_back(now_);
        }
      }
    }
  }
  std::size_t MaximumStartsPerSecond() const {
    std::size_t maximum = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts_.size(); ++last) {
      while (starts_[last] - starts_[first] >= seconds(1)) {
        ++first;
      }
      maximum = std::max(maximum, last - first + 1);
    }
    return maximum;
  }

  TimePoint now_{seconds(1000)};
  std::vector<SlowStart> gateways_;
  std::vector<TimePoint> starts_;
};

// Guards against equal quotas: with these, the first calls of 58 gateways coincided, and 25 calls
// started in a second in which 24.5 were allowed.
TEST_P(SlowStartReplicaTest, GatewaysTogetherStayWithinTheRate) {
  SetWarmingUpEverywhere();
  RunFor(seconds(3));
  EXPECT_LE(static_cast<double>(MaximumStartsPerSecond()), kPerSecond * 1.5);
  EXPECT_GE(static_cast<double>(starts_.size()), kPerSecond * 2.5);
}

TEST_P(SlowStartReplicaTest, StaysWithinTheBoundWhileRanksChange) {
  SetWarmingUpEverywhere();
  RunFor(milliseconds(700));
  // A third of the gateways has left; the others learn of it one after the other.
  const std::uint32_t remaining = GetParam() - GetParam() / 3;
  gateways_.resize(remaining);
  for (std::uint32_t index = 0; index < remaining; ++index) {
    const double rate = GatewayQuota{"a", {index, remaining}, {}}.RateFor("r", "a", kPerSecond);
    gateways_[index].ChangeRates([rate](const std::string&) { return rate; }, milliseconds(1500),
                                 now_);
    RunFor(milliseconds(700) / remaining);
  }
  RunFor(seconds(4));
  EXPECT_LE(static_cast<double>(MaximumStartsPerSecond()), kPerSecond * 1.5 + 5);
}

INSTANTIATE_TEST_SUITE_P(Gateways, SlowStartReplicaTest, testing::Values(1U, 3U, 12U, 14U, 58U));

TEST(SlowStartTest, WarmReplicasAreUnlimited) {
  SlowStart slow_start;
  const TimePoint now{seconds(1000)};
  slow_start.SetWarmingUp("r", 0, now + seconds(3), now);
  EXPECT_FALSE(slow_start.CanStart("r", now));
  EXPECT_TRUE(slow_start.CanStart("r", now + seconds(3)));
}

}  // namespace
}  // namespace cloverbank

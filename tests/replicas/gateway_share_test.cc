// Shares of a replica's room, and cold replicas under all gateways together.
#include "replicas/gateway_share.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "replicas/cold_pacing.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kFew = 3;
constexpr std::uint32_t kMany = 58;

std::vector<GatewayShare> Zone(const std::string& zone, std::uint32_t count) {
  std::vector<GatewayShare> shares;
  for (std::uint32_t index = 0; index < count; ++index) {
    shares.push_back({zone, index, count});
  }
  return shares;
}

TEST(GatewayShareTest, PartsOfSlotsAddUpToAllOfThem) {
  for (const std::uint32_t count : {1U, kFew, 12U, kMany}) {
    for (std::uint32_t replica = 0; replica < 50; ++replica) {
      std::uint32_t sum = 0;
      for (const GatewayShare& share : Zone("a", count)) {
        sum += share.SlotsOf("r" + std::to_string(replica), "a", 10);
      }
      EXPECT_EQ(sum, 10U) << count << " gateways";
    }
  }
}

TEST(GatewayShareTest, ManyGatewaysDrawDifferentReplicas) {
  for (const GatewayShare& share : Zone("a", kMany)) {
    std::uint32_t slots = 0;
    for (std::uint32_t replica = 0; replica < 500; ++replica) {
      slots += share.SlotsOf("r" + std::to_string(replica), "a", 10);
    }
    EXPECT_NEAR(slots, 500.0 * 10 / kMany, 45);
  }
}

TEST(GatewayShareTest, ReplicasOfOtherZonesBelongToTheirOwnGateways) {
  const GatewayShare share{"a", 0, kFew};
  EXPECT_EQ(share.SlotsOf("r", "b", 10), 0U);
  EXPECT_EQ(share.RateOf("r", "b", 30), 0);
}

TEST(GatewayShareTest, RatesAddUpAndAreNeverSoLowThatFirstCallsOutweighThem) {
  for (const std::uint32_t count : {1U, kFew, 12U, kMany}) {
    for (const double rate : {1.0, 13.0, 31.0}) {
      double sum = 0;
      for (const GatewayShare& share : Zone("a", count)) {
        const double part = share.RateOf("r", "a", rate);
        EXPECT_TRUE(part == 0 || part >= 2 || rate < 2) << part;
        sum += part;
      }
      EXPECT_NEAR(sum, rate, 1e-9);
    }
  }
}

/// Calls at one cold replica, from gateways that always have one ready.
class ColdReplicaTest : public testing::TestWithParam<std::uint32_t> {
 protected:
  static constexpr double kPerSecond = 13;

  void SetColdAtAll() {
    for (const GatewayShare& share : Zone("a", GetParam())) {
      gateways_.emplace_back().SetCold("r", share.RateOf("r", "a", kPerSecond), now_ + seconds(30),
                                       now_);
    }
  }
  void RunFor(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += milliseconds(1)) {
      for (ColdPacing& gateway : gateways_) {
        if (gateway.MayStart("r", now_)) {
          gateway.OnStart("r", now_);
          starts_.push_back(now_);
        }
      }
    }
  }
  std::size_t MostInASecond() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts_.size(); ++last) {
      while (starts_[last] - starts_[first] >= seconds(1)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  TimePoint now_{seconds(1000)};
  std::vector<ColdPacing> gateways_;
  std::vector<TimePoint> starts_;
};

// With equal shares the first calls of 58 gateways met: 25 in a second where 24.5 were allowed.
TEST_P(ColdReplicaTest, GatewaysTogetherStayWithinTheRate) {
  SetColdAtAll();
  RunFor(seconds(3));
  EXPECT_LE(static_cast<double>(MostInASecond()), kPerSecond * 1.5);
  EXPECT_GE(static_cast<double>(starts_.size()), kPerSecond * 2.5);
}

TEST_P(ColdReplicaTest, TheyStayWithinItWhileTheirPlacesMove) {
  SetColdAtAll();
  RunFor(milliseconds(700));
  // A third of the gateways is gone; the others hear of it one after the other.
  const std::uint32_t left = GetParam() - GetParam() / 3;
  gateways_.resize(left);
  for (std::uint32_t index = 0; index < left; ++index) {
    const double rate = GatewayShare{"a", index, left}.RateOf("r", "a", kPerSecond);
    gateways_[index].ChangeRates([rate](const std::string&) { return rate; }, milliseconds(1500),
                                 now_);
    RunFor(milliseconds(700) / left);
  }
  RunFor(seconds(4));
  EXPECT_LE(static_cast<double>(MostInASecond()), kPerSecond * 1.5 + 5);
}

INSTANTIATE_TEST_SUITE_P(Gateways, ColdReplicaTest, testing::Values(1U, 3U, 12U, 14U, 58U));

TEST(ColdPacingTest, AReplicaThatIsColdNoMoreIsOpenToAll) {
  ColdPacing pacing;
  const TimePoint now{seconds(1000)};
  pacing.SetCold("r", 0, now + seconds(3), now);
  EXPECT_FALSE(pacing.MayStart("r", now));
  EXPECT_TRUE(pacing.MayStart("r", now + seconds(3)));
}

}  // namespace
}  // namespace cloverbank

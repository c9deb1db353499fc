/// @file
/// Batch work as a back end's only work: whatever calls showed before, batch items start again at a
/// listed, ready replica within a bound.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "routing/router.h"
#include "support/test_seeds.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kSlots = 8;
/// All batch work of a zone without a start is a fault after this time. A replica may be ejected
/// for `ReplicaHealthOptions::maximum_ejection`; the rest is for the turns of the gateways.
constexpr Duration kStartBound = seconds(32);

/// One gateway's view of the replicas; replicas are not probed and loads are not reported.
struct GatewayView {
  explicit GatewayView(const ReplicaDirectory& directory)
      : health(MakeOptions()), router(MakeRouterOptions(), directory, health, loads) {}

  static ReplicaHealthOptions MakeOptions() {
    ReplicaHealthOptions options;
    options.probed = false;
    return options;
  }
  static RouterOptions MakeRouterOptions() {
    RouterOptions options;
    options.zone = "a";
    options.load_reported = false;
    return options;
  }

  void StartCall(const std::string& id, TimePoint now) {
    loads[id].OnStart(WorkKind::kBatch);
    health.OnCallStarted(id, now);
  }
  void EndCall(const std::string& id, CallOutcome outcome, TimePoint now) {
    loads[id].OnEnd(WorkKind::kBatch);
    if (outcome == CallOutcome::kRefused) {
      loads[id].OnRefused(now);
    }
    health.OnCallEnded(id, outcome, now);
  }
  void RunCall(const std::string& id, CallOutcome outcome, TimePoint now) {
    StartCall(id, now);
    EndCall(id, outcome, now);
  }

  ReplicaHealth health;
  LoadTable loads;
  Router router;
};

class BatchLivenessTest : public ::testing::Test {
 protected:
  void SetUpZone(std::uint32_t gateways, std::uint32_t replicas, std::uint32_t slots = kSlots) {
    proto::Zone* zone = configuration_.add_zones();
    zone->set_name("a");
    zone->set_state(proto::ZONE_STATE_OPEN);
    route_.set_name("r");
    route_.set_backend("model");
    route_.set_backend_kind(proto::BACKEND_KIND_MODEL);
    proto::ReplicaList list;
    list.set_version(1);
    for (std::uint32_t index = 0; index < replicas; ++index) {
      ids_.push_back("replica-" + std::to_string(index));
      proto::Replica* replica = list.add_replicas();
      replica->set_id(ids_.back());
      replica->mutable_endpoint()->set_host("127.0.0.1");
      replica->mutable_endpoint()->set_port(80);
      replica->set_zone("a");
      replica->set_kind(proto::BACKEND_KIND_MODEL);
      replica->set_backend("model");
      replica->set_state(proto::REPLICA_STATE_READY);
      replica->set_capacity(slots);
    }
    ASSERT_TRUE(directory_.Apply(list).ok());
    for (std::uint32_t index = 0; index < gateways; ++index) {
      gateways_.push_back(std::make_unique<GatewayView>(directory_));
      gateways_.back()->router.SetQuota({"a", {index, gateways}, {}});
      for (const std::string& id : ids_) {
        gateways_.back()->health.Reset(id, "model", Duration::zero());
      }
    }
  }
  std::uint32_t FreeSlots(const GatewayView& gateway) const {
    return gateway.router.FreeBatchSlots(configuration_, "model", now_);
  }
  std::uint32_t FreeSlotsOfZone() const {
    std::uint32_t slots = 0;
    for (const auto& gateway : gateways_) {
      slots += FreeSlots(*gateway);
    }
    return slots;
  }
  const ReplicaRecord* ChooseForBatch(const GatewayView& gateway) const {
    RoutingQuery query;
    query.configuration = &configuration_;
    query.route = &route_;
    query.work = WorkKind::kBatch;
    return gateway.router.Choose(query, now_).replica;
  }
  /// Advances the time until an item may start. @return false if none may within the bound.
  bool AdvanceUntilFree(const GatewayView& gateway, Duration bound) {
    for (const TimePoint end = now_ + bound; FreeSlots(gateway) == 0; now_ += milliseconds(10)) {
      if (now_ >= end) {
        return false;
      }
    }
    return true;
  }

  TimePoint now_ = TimePoint(seconds(1000));
  proto::RoutingConfiguration configuration_;
  proto::Route route_;
  ReplicaDirectory directory_;
  std::vector<std::string> ids_;
  std::vector<std::unique_ptr<GatewayView>> gateways_;
};

// Guards against a lost answer at every replica ending all batch work of a back end without live
// calls (review/4).
TEST_F(BatchLivenessTest, ItemsStartAgainAfterALostAnswerAtEveryReplica) {
  SetUpZone(1, 3);
  GatewayView& gateway = *gateways_.front();
  for (const std::string& id : ids_) {
    gateway.RunCall(id, CallOutcome::kNoResponse, now_);
  }
  ASSERT_TRUE(AdvanceUntilFree(gateway, seconds(1)));
  const ReplicaRecord* replica = ChooseForBatch(gateway);
  ASSERT_NE(replica, nullptr);
  const std::uint32_t before = FreeSlots(gateway);
  gateway.RunCall(replica->id, CallOutcome::kSuccess, now_);
  EXPECT_GT(FreeSlots(gateway), before) << "a good call restores the whole quota";
}

// Guards against the only replica of a service keeping batch work away after one lost answer.
TEST_F(BatchLivenessTest, ASingleReplicaGetsOneItemAtATimeAsItsTrial) {
  SetUpZone(1, 1);
  GatewayView& gateway = *gateways_.front();
  gateway.RunCall(ids_[0], CallOutcome::kNoResponse, now_);
  EXPECT_EQ(FreeSlots(gateway), 0U) << "not at once";
  ASSERT_TRUE(AdvanceUntilFree(gateway, seconds(1)));
  EXPECT_EQ(FreeSlots(gateway), 1U);
  gateway.StartCall(ids_[0], now_);
  EXPECT_EQ(FreeSlots(gateway), 0U);
  EXPECT_EQ(ChooseForBatch(gateway), nullptr);
}

// Guards against items waiting at replicas that have just gone dark while others are sound.
TEST_F(BatchLivenessTest, ASuspectReplicaIsTriedLaterWhileAnotherOneIsSound) {
  SetUpZone(1, 2);
  GatewayView& gateway = *gateways_.front();
  const std::uint32_t all = FreeSlots(gateway);
  gateway.RunCall(ids_[0], CallOutcome::kNoResponse, now_);
  now_ += seconds(4);
  EXPECT_EQ(FreeSlots(gateway), all / 2);
  now_ += seconds(2);
  EXPECT_EQ(FreeSlots(gateway), all / 2 + 1) << "the state ends without live calls, too";
}

// Guards against all gateways of a zone trying a suspect replica at the same moment.
TEST_F(BatchLivenessTest, GatewaysOfAZoneTakeTurnsAtASuspectReplica) {
  constexpr std::uint32_t kGateways = 12;
  SetUpZone(kGateways, 1, 16);
  for (const auto& gateway : gateways_) {
    gateway->RunCall(ids_[0], CallOutcome::kNoResponse, now_);
  }
  std::uint32_t started = 0;
  for (const TimePoint end = now_ + seconds(4); now_ < end; now_ += milliseconds(10)) {
    std::uint32_t started_now = 0;
    for (const auto& gateway : gateways_) {
      const bool suspect = gateway->health.GetCondition(ids_[0]) == ReplicaCondition::kSuspect;
      if (suspect && FreeSlots(*gateway) > 0) {
        gateway->RunCall(ids_[0], CallOutcome::kSuccess, now_);
        ++started_now;
      }
    }
    EXPECT_LE(started_now, 1U);
    started += started_now;
  }
  EXPECT_EQ(started, kGateways);
}

// Guards against 90 % of one slot being rounded to none (KNOWN-RED 15).
TEST_F(BatchLivenessTest, AReplicaWithOneSlotRunsItems) {
  SetUpZone(3, 2, 1);
  EXPECT_EQ(FreeSlotsOfZone(), 2U);
}

// Guards against items that never run where the only zone with replicas has no gateway (KNOWN-RED
// 15).
TEST_F(BatchLivenessTest, ReplicasOfAZoneWithoutGatewaysRunItems) {
  SetUpZone(1, 2);
  GatewayView& gateway = *gateways_.front();
  const std::uint32_t all = FreeSlots(gateway);
  gateway.router.SetQuota({"b", {0, 1}, {}});
  EXPECT_EQ(FreeSlots(gateway), 0U) << "the gateways of the zone use its replicas";
  gateway.router.SetQuota({"b", {0, 1}, {{"a", {0, 1}}}});
  EXPECT_EQ(FreeSlots(gateway), all);
  EXPECT_NE(ChooseForBatch(gateway), nullptr);
}

class BatchLivenessSeedTest : public BatchLivenessTest,
                              public ::testing::WithParamInterface<std::uint64_t> {};

// Guards against any other state of a replica that only a call ends while it keeps calls away.
TEST_P(BatchLivenessSeedTest, NoSeriesOfOutcomesEndsBatchWorkForGood) {
  SetUpZone(3, 3);
  std::mt19937_64 random(GetParam());
  for (int round = 0; round < 100; ++round) {
    const std::uint64_t steps = 1 + random() % 20;
    for (std::uint64_t step = 0; step < steps; ++step) {
      GatewayView& gateway = *gateways_[random() % gateways_.size()];
      gateway.RunCall(ids_[random() % ids_.size()], static_cast<CallOutcome>(random() % 6), now_);
      now_ += milliseconds(random() % 1000);
      gateway.health.Evaluate(now_);
    }
    for (const auto& gateway : gateways_) {
      ASSERT_TRUE(AdvanceUntilFree(*gateway, kStartBound)) << "round " << round;
      ASSERT_NE(ChooseForBatch(*gateway), nullptr) << "round " << round;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, BatchLivenessSeedTest, ::testing::ValuesIn(TestSeeds(8)));

}  // namespace
}  // namespace cloverbank

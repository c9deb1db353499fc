#include "replicas/replica_health.h"

#include <gtest/gtest.h>

#include <random>

namespace cloverbank {
namespace {

class ReplicaHealthTest : public ::testing::Test {
 protected:
  void Add(const std::string& id, bool warm = true) {
    health_.Reset(id, "model", Duration::zero());
    health_.OnProbe(id, true, warm, now_);
  }
  void RunCall(const std::string& id, CallOutcome outcome) {
    health_.OnCallStarted(id, now_);
    health_.OnCallEnded(id, outcome, now_);
  }
  Usability UsabilityOf(const std::string& id) { return health_.GetUsability(id, now_); }

  TimePoint now_ = TimePoint(seconds(1000));
  ReplicaHealthOptions options_;
  ReplicaHealth health_{options_};
};

TEST_F(ReplicaHealthTest, UsableAfterAGoodProbeAndTheStartDelay) {
  health_.Reset("x", "model", milliseconds(500));
  EXPECT_EQ(UsabilityOf("x"), Usability::kNo);
  health_.OnProbe("x", false, false, now_);
  EXPECT_EQ(UsabilityOf("x"), Usability::kNo);
  health_.OnProbe("x", true, false, now_);
  EXPECT_EQ(UsabilityOf("x"), Usability::kNo);
  now_ += milliseconds(500);
  EXPECT_EQ(UsabilityOf("x"), Usability::kYes);
}

TEST_F(ReplicaHealthTest, TimeoutsEjectAndASuccessfulTrialRestores) {
  Add("x");
  RunCall("x", CallOutcome::kNoResponse);
  EXPECT_EQ(UsabilityOf("x"), Usability::kLastResort);
  health_.OnProbe("x", true, false, now_);
  EXPECT_EQ(UsabilityOf("x"), Usability::kYes);
  health_.OnProbe("x", false, false, now_);
  RunCall("x", CallOutcome::kNotConnected);
  EXPECT_EQ(UsabilityOf("x"), Usability::kNo);
  health_.OnProbe("x", true, false, now_);  // Too early.
  EXPECT_EQ(health_.GetCondition("x"), ReplicaCondition::kEjected);
  now_ += options_.base_ejection;
  EXPECT_EQ(UsabilityOf("x"), Usability::kNo);  // Not before a good probe.
  health_.OnProbe("x", true, false, now_);
  EXPECT_EQ(UsabilityOf("x"), Usability::kYes);
  health_.OnCallStarted("x", now_);
  EXPECT_EQ(UsabilityOf("x"), Usability::kNo);  // One trial at a time.
  health_.OnCallEnded("x", CallOutcome::kSuccess, now_);
  EXPECT_EQ(health_.GetCondition("x"), ReplicaCondition::kHealthy);
  EXPECT_EQ(health_.GetLimit("x", 8, now_), 1U);  // In slow start again.
}

TEST_F(ReplicaHealthTest, EjectionTimeGrowsAndDecays) {
  Add("x");
  Duration expected = options_.base_ejection;
  for (int round = 0; round < 8; ++round) {
    RunCall("x", CallOutcome::kNoResponse);
    RunCall("x", CallOutcome::kNoResponse);
    ASSERT_EQ(health_.GetCondition("x"), ReplicaCondition::kEjected);
    health_.OnProbe("x", true, false, now_ + expected - milliseconds(1));
    ASSERT_EQ(health_.GetCondition("x"), ReplicaCondition::kEjected);
    now_ += expected;
    health_.OnProbe("x", true, false, now_);
    ASSERT_EQ(health_.GetCondition("x"), ReplicaCondition::kTrial);
    expected = std::min(expected * 2, options_.maximum_ejection);
  }
  RunCall("x", CallOutcome::kSuccess);
  for (int round = 0; round < 10; ++round) {
    now_ += options_.ejection_decay_interval;
    health_.Evaluate(now_);
  }
  RunCall("x", CallOutcome::kNoResponse);
  RunCall("x", CallOutcome::kNoResponse);
  now_ += options_.base_ejection;
  health_.OnProbe("x", true, false, now_);
  EXPECT_EQ(health_.GetCondition("x"), ReplicaCondition::kTrial);
}

TEST_F(ReplicaHealthTest, SoftEvidenceEjectsAtMostTheMaximum) {
  for (int index = 0; index < 9; ++index) {
    Add(std::to_string(index));
  }
  for (int round = 0; round < 20; ++round) {
    for (int index = 0; index < 9; ++index) {
      RunCall(std::to_string(index), CallOutcome::kFailed);
    }
  }
  int ejected = 0;
  for (int index = 0; index < 9; ++index) {
    ejected += UsabilityOf(std::to_string(index)) == Usability::kNo ? 1 : 0;
  }
  EXPECT_EQ(ejected, 4);
}

TEST_F(ReplicaHealthTest, EjectsTheSlowReplicaAmongItsPeers) {
  for (int index = 0; index < 4; ++index) {
    Add(std::to_string(index));
    for (std::uint32_t sample = 0; sample < options_.minimum_latency_samples; ++sample) {
      health_.OnLatency(std::to_string(index), index == 2 ? seconds(3) : milliseconds(400));
    }
  }
  health_.Evaluate(now_);
  for (int index = 0; index < 4; ++index) {
    EXPECT_EQ(UsabilityOf(std::to_string(index)), index == 2 ? Usability::kNo : Usability::kYes);
  }
}

TEST_F(ReplicaHealthTest, SlowStartBeginsWithAServedCallAndGrowsLinearly) {
  Add("x", false);
  now_ += seconds(100);
  EXPECT_EQ(health_.GetLimit("x", 8, now_), 1U);  // Idle time does not raise it.
  health_.OnServingObserved("x", now_);
  std::uint32_t last = 0;
  for (int step = 0; step <= 60; ++step) {
    const std::uint32_t limit = health_.GetLimit("x", 8, now_);
    ASSERT_GE(limit, last);
    ASSERT_LE(limit, 1U + 7U * static_cast<std::uint32_t>(step) / 60U);
    last = limit;
    now_ += options_.slow_start_time / 60;
  }
  EXPECT_EQ(health_.GetLimit("x", 8, now_), 8U);
  EXPECT_FALSE(health_.IsInSlowStart("x", now_));
}

/// After any sequence of events, ejected and unproven replicas get no call, a replica on trial gets
/// at most one, and the limit stays between 1 and the capacity.
TEST_F(ReplicaHealthTest, RandomEventsKeepTheInvariants) {
  std::mt19937_64 random(17);
  const std::vector<std::string> ids = {"a", "b", "c"};
  std::map<std::string, std::uint32_t> in_flight;
  for (const std::string& id : ids) {
    health_.Reset(id, "model", Duration::zero());
  }
  for (int step = 0; step < 100'000; ++step) {
    now_ += milliseconds(random() % 50);
    const std::string& id = ids[random() % ids.size()];
    const Usability usability = UsabilityOf(id);
    const ReplicaCondition condition = health_.GetCondition(id);
    if (condition == ReplicaCondition::kTrial && in_flight[id] > 0) {
      ASSERT_EQ(usability, Usability::kNo);
    }
    if (condition == ReplicaCondition::kUnproven || condition == ReplicaCondition::kEjected) {
      ASSERT_EQ(usability, Usability::kNo);
    }
    const std::uint32_t limit = health_.GetLimit(id, 8, now_);
    ASSERT_GE(limit, 1U);
    ASSERT_LE(limit, 8U);
    if (random() % 3 == 0) {
      health_.OnProbe(id, random() % 4 != 0, false, now_);
    } else if (usability != Usability::kNo && random() % 2 == 0) {
      health_.OnCallStarted(id, now_);
      ++in_flight[id];
    } else if (in_flight[id] > 0) {
      --in_flight[id];
      health_.OnCallEnded(id, static_cast<CallOutcome>(random() % 6), now_);
    } else if (random() % 50 == 0) {
      health_.Reset(id, "model", Duration::zero());
    }
  }
}

}  // namespace
}  // namespace cloverbank

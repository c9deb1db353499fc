/// @file
/// A complete batch fleet under seeded faults. A failing seed replays exactly.

#include <gtest/gtest.h>

#include "queue/batch_workload.h"
#include "support/test_seeds.h"

namespace cloverbank {
namespace {

class DurabilityTest : public testing::TestWithParam<int> {
 protected:
  explicit DurabilityTest(std::uint64_t retention_s = 0)
      : fleet_(static_cast<std::uint64_t>(GetParam())), workload_(fleet_, retention_s) {
    fleet_.queue_options.sweep_interval = seconds(1);
    fleet_.StartAll();
    workload_.Start();
    fleet_.world.RunFor(seconds(6));
  }

  SimulatedMachine& Machine(const std::string& name) { return fleet_.world.machine(name); }
  std::string RandomOf(const std::vector<std::string>& names) {
    return names[fleet_.world.RandomBelow(names.size())];
  }
  void StartLater(const std::string& name, Duration delay) {
    fleet_.world.ScheduleAfter(delay, [this, name] {
      if (!Machine(name).running()) {
        Machine(name).Start();
      }
    });
  }
  Duration RandomTime(std::uint64_t limit_ms) {
    return milliseconds(fleet_.world.RandomBelow(limit_ms));
  }

  /// @return the coordinators' fleet status as text.
  std::string FleetProblems() {
    std::string problems;
    for (const std::string& front : fleet_.fronts) {
      fleet_.world.CallPeer(Machine(front).endpoint(), "coordinator.GetFleetStatus", "", seconds(2),
                            [&](const PeerReply& reply) {
                              proto::GetFleetStatusResponse response;
                              if (reply.status.ok() && response.ParseFromString(reply.body)) {
                                problems = response.DebugString();
                              }
                            });
    }
    fleet_.world.RunFor(seconds(3));
    return problems;
  }

  /// Ends the faults, waits until all batches have finished and checks the promises.
  void HealAndVerify(std::size_t least_accepted) {
    fleet_.world.HealAll();
    fleet_.world.network() = NetworkBehaviour();
    fleet_.StartAll();
    workload_.StopSubmitting();
    const bool done = fleet_.world.RunUntil([this] { return workload_.Done(); }, seconds(120));
    EXPECT_TRUE(done) << workload_.Unfinished() << FleetProblems();
    fleet_.world.RunFor(seconds(2));
    for (std::size_t i = 0; i < workload_.violations().size() && i < 10; ++i) {
      ADD_FAILURE() << workload_.violations()[i];
    }
    EXPECT_GE(workload_.accepted(), least_accepted);
    RecordProperty("accepted", static_cast<int>(workload_.accepted()));
    RecordProperty("unknown",
                   static_cast<int>(workload_.CountOutcome(proto::ITEM_OUTCOME_UNKNOWN)));
  }

  FleetWorld fleet_;
  BatchWorkload workload_;
};

TEST_P(DurabilityTest, CalmFleetFinishesEverything) {
  fleet_.world.RunFor(seconds(5));
  HealAndVerify(10);
  EXPECT_EQ(workload_.CountOutcome(proto::ITEM_OUTCOME_UNKNOWN), 0U);
}

TEST_P(DurabilityTest, TwoStoresLoseTheirDisksAtOnce) {
  ASSERT_TRUE(fleet_.world.RunUntil([this] { return fleet_.FullConfiguration(); }, seconds(20)));
  fleet_.world.RunFor(RandomTime(1000));
  if (!fleet_.FullConfiguration()) {
    ASSERT_TRUE(fleet_.world.RunUntil([this] { return fleet_.FullConfiguration(); }, seconds(20)));
  }
  const std::uint64_t survivor = fleet_.world.RandomBelow(3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    if (i != survivor) {
      Machine(fleet_.stores[i]).LoseDisk();
      StartLater(fleet_.stores[i], seconds(1) + RandomTime(8000));
    }
  }
  fleet_.world.RunFor(seconds(15));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, DisksLostOneAfterTheOther) {
  for (int round = 0; round < 3; ++round) {
    ASSERT_TRUE(fleet_.world.RunUntil([this] { return fleet_.FullConfiguration(); }, seconds(60)));
    const std::string first = RandomOf(fleet_.stores);
    Machine(first).LoseDisk();
    StartLater(first, RandomTime(6000));
    fleet_.world.RunFor(seconds(7));
  }
  HealAndVerify(20);
}

TEST_P(DurabilityTest, IsolatedStoreThenBothOthersLost) {
  ASSERT_TRUE(fleet_.world.RunUntil([this] { return fleet_.FullConfiguration(); }, seconds(20)));
  const std::string isolated = RandomOf(fleet_.stores);
  fleet_.world.Isolate(isolated);
  // At no moment may the loss of both others lose what was acknowledged.
  fleet_.world.RunFor(RandomTime(12000));
  for (const std::string& store : fleet_.stores) {
    if (store != isolated) {
      Machine(store).LoseDisk();
      StartLater(store, seconds(1) + RandomTime(8000));
    }
  }
  fleet_.world.Heal(isolated);
  fleet_.world.RunFor(seconds(15));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, AllMachinesLosePower) {
  std::vector<std::string> machines = fleet_.stores;
  for (int round = 0; round < 2; ++round) {
    fleet_.world.RunFor(RandomTime(3000));
    for (const std::string& machine : machines) {
      Machine(machine).LosePower();
      StartLater(machine, RandomTime(3000));
    }
    machines.insert(machines.end(), fleet_.fronts.begin(), fleet_.fronts.end());
    fleet_.world.RunFor(seconds(3));
    const TimePoint back = fleet_.world.Now();
    EXPECT_TRUE(fleet_.world.RunUntil([&] { return workload_.ServedSince(back); }, seconds(12)))
        << FleetProblems();
  }
  HealAndVerify(10);
}

TEST_P(DurabilityTest, RetiredStoreIsDrainedThenLost) {
  ASSERT_TRUE(fleet_.world.RunUntil([this] { return fleet_.FullConfiguration(); }, seconds(20)));
  const std::string retired = RandomOf(fleet_.stores);
  proto::RetireServerRequest request;
  request.set_machine(retired);
  const auto ask = [&] {
    for (const std::string& front : fleet_.fronts) {
      fleet_.world.CallPeer(Machine(front).endpoint(), "coordinator.RetireServer",
                            request.SerializeAsString(), seconds(2), [](const PeerReply&) {});
    }
  };
  ask();
  const auto drained = [&] {
    bool empty = false;
    fleet_.world.CallPeer(Machine(retired).endpoint(), "backup.ListSegments", "", seconds(1),
                          [&](const PeerReply& reply) {
                            proto::ListSegmentsResponse segments;
                            empty = reply.status.ok() && segments.ParseFromString(reply.body) &&
                                    segments.replicas().empty();
                          });
    fleet_.world.RunFor(seconds(1));
    return empty;
  };
  int seconds_left = 60;
  while (!drained() && --seconds_left > 0) {
  }
  EXPECT_GT(seconds_left, 0) << FleetProblems();
  Machine(retired).LoseDisk();
  const std::string second = RandomOf(fleet_.stores);
  Machine(second).LoseDisk();
  StartLater(second, seconds(2));
  fleet_.world.RunFor(seconds(8));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, DisksFillUpAndAreFreed) {
  constexpr std::uint64_t kFull = 1;
  constexpr std::uint64_t kAmple = 1ULL << 40U;
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& name : {RandomOf(fleet_.stores), RandomOf(fleet_.fronts)}) {
      Machine(name).SetDiskLimit(kFull);
    }
    if (round == kRounds - 1) {
      for (const std::string& name : fleet_.stores) {
        Machine(name).SetDiskLimit(kFull);  // No backup can store a new batch.
      }
    }
    fleet_.world.RunFor(seconds(3) + RandomTime(3000));
    for (const std::vector<std::string>* machines : {&fleet_.stores, &fleet_.fronts}) {
      for (const std::string& name : *machines) {
        Machine(name).SetDiskLimit(kAmple);
        EXPECT_TRUE(Machine(name).running()) << name << " ended of a full disk";
      }
    }
    fleet_.world.RunFor(seconds(2) + RandomTime(2000));
  }
  const TimePoint space_available_at = fleet_.world.Now();
  EXPECT_TRUE(fleet_.world.RunUntil([&] { return workload_.ServedSince(space_available_at); },
                                    seconds(10)));
  HealAndVerify(20);
}

TEST_P(DurabilityTest, RandomKillsFreezesAndPartitions) {
  fleet_.world.network().request_loss = 0.003;
  fleet_.world.network().reply_loss = 0.003;
  fleet_.world.network().request_duplication = 0.01;
  for (int round = 0; round < 12; ++round) {
    const bool store = fleet_.world.RandomBelow(3) != 0;
    const std::string name = RandomOf(store ? fleet_.stores : fleet_.fronts);
    SimulatedMachine& machine = Machine(name);
    if (machine.running()) {
      switch (fleet_.world.RandomBelow(4)) {
        case 0:
          machine.Kill();
          StartLater(name, RandomTime(6000));
          break;
        case 1:
          machine.LosePower();
          StartLater(name, RandomTime(6000));
          break;
        case 2:
          machine.Freeze();
          fleet_.world.ScheduleAfter(RandomTime(25000), [&machine] { machine.Wake(); });
          break;
        default:
          fleet_.world.Isolate(name);
          fleet_.world.ScheduleAfter(RandomTime(9000), [this, name] { fleet_.world.Heal(name); });
      }
    }
    fleet_.world.RunFor(RandomTime(6000));
  }
  fleet_.world.RunFor(seconds(25));
  HealAndVerify(10);
}

/// Finished batches are removed and the log is cleaned, over recoveries.
class CleaningTest : public DurabilityTest {
 protected:
  CleaningTest() : DurabilityTest(20) {}
};

TEST_P(CleaningTest, RemovedBatchesNeverComeBack) {
  for (int round = 0; round < 8; ++round) {
    fleet_.world.RunFor(seconds(10));
    const std::string store = RandomOf(fleet_.stores);
    if (Machine(store).running()) {
      Machine(store).LosePower();
      StartLater(store, RandomTime(5000));
    }
  }
  HealAndVerify(20);
}

/// More seeds for longer trials: CLOVERBANK_SEEDS=200 test_queue --gtest_filter=...
int SeedCount() {
  constexpr int kDefaultSeeds = 4;
  return static_cast<int>(NumberFromEnvironment("CLOVERBANK_SEEDS", kDefaultSeeds));
}

INSTANTIATE_TEST_SUITE_P(Seeds, DurabilityTest, testing::Range(1, SeedCount() + 1));
INSTANTIATE_TEST_SUITE_P(Seeds, CleaningTest, testing::Range(1, SeedCount() + 1));

}  // namespace
}  // namespace cloverbank

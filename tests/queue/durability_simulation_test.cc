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
      : fleet(static_cast<std::uint64_t>(GetParam())), workload(fleet, retention_s) {
    fleet.queue_options.retention_sweep = seconds(1);
    fleet.StartAll();
    workload.Start();
    fleet.world.RunFor(seconds(6));
  }

  SimulatedMachine& Machine(const std::string& name) { return fleet.world.machine(name); }
  std::string RandomOf(const std::vector<std::string>& names) {
    return names[fleet.world.RandomBelow(names.size())];
  }
  void StartLater(const std::string& name, Duration delay) {
    fleet.world.ScheduleAfter(delay, [this, name] {
      if (!Machine(name).running()) {
        Machine(name).Start();
      }
    });
  }
  Duration RandomTime(std::uint64_t limit_ms) {
    return milliseconds(fleet.world.RandomBelow(limit_ms));
  }

  /// @return the coordinators' fleet status as text.
  std::string FleetProblems() {
    std::string problems;
    for (const std::string& front : fleet.fronts) {
      fleet.world.CallPeer(Machine(front).endpoint(), "coordinator.GetFleetStatus", "", seconds(2),
                           [&](const PeerReply& reply) {
                             proto::GetFleetStatusResponse response;
                             if (reply.status.ok() && response.ParseFromString(reply.body)) {
                               problems = response.DebugString();
                             }
                           });
    }
    fleet.world.RunFor(seconds(3));
    return problems;
  }

  /// Ends the faults, waits until all batches have finished and checks the promises.
  void HealAndVerify(std::size_t least_accepted) {
    fleet.world.HealAll();
    fleet.world.network() = NetworkBehaviour();
    fleet.StartAll();
    workload.StopSubmitting();
    const bool done = fleet.world.RunUntil([this] { return workload.Done(); }, seconds(120));
    EXPECT_TRUE(done) << workload.Unfinished() << FleetProblems();
    fleet.world.RunFor(seconds(2));
    for (std::size_t i = 0; i < workload.violations().size() && i < 10; ++i) {
      ADD_FAILURE() << workload.violations()[i];
    }
    EXPECT_GE(workload.accepted(), least_accepted);
    RecordProperty("accepted", static_cast<int>(workload.accepted()));
    RecordProperty("unknown", static_cast<int>(workload.CountOutcome(proto::ITEM_OUTCOME_UNKNOWN)));
  }

  FleetWorld fleet;
  BatchWorkload workload;
};

TEST_P(DurabilityTest, CalmFleetFinishesEverything) {
  fleet.world.RunFor(seconds(5));
  HealAndVerify(10);
  EXPECT_EQ(workload.CountOutcome(proto::ITEM_OUTCOME_UNKNOWN), 0U);
}

TEST_P(DurabilityTest, TwoStoresLoseTheirDisksAtOnce) {
  ASSERT_TRUE(fleet.world.RunUntil([this] { return fleet.FullConfiguration(); }, seconds(20)));
  fleet.world.RunFor(RandomTime(1000));
  if (!fleet.FullConfiguration()) {
    ASSERT_TRUE(fleet.world.RunUntil([this] { return fleet.FullConfiguration(); }, seconds(20)));
  }
  const std::uint64_t survivor = fleet.world.RandomBelow(3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    if (i != survivor) {
      Machine(fleet.stores[i]).LoseDisk();
      StartLater(fleet.stores[i], seconds(1) + RandomTime(8000));
    }
  }
  fleet.world.RunFor(seconds(15));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, DisksLostOneAfterTheOther) {
  for (int round = 0; round < 3; ++round) {
    ASSERT_TRUE(fleet.world.RunUntil([this] { return fleet.FullConfiguration(); }, seconds(60)));
    const std::string first = RandomOf(fleet.stores);
    Machine(first).LoseDisk();
    StartLater(first, RandomTime(6000));
    fleet.world.RunFor(seconds(7));
  }
  HealAndVerify(20);
}

TEST_P(DurabilityTest, IsolatedStoreThenBothOthersLost) {
  ASSERT_TRUE(fleet.world.RunUntil([this] { return fleet.FullConfiguration(); }, seconds(20)));
  const std::string isolated = RandomOf(fleet.stores);
  fleet.world.Isolate(isolated);
  // At no moment may the loss of both others lose what was acknowledged.
  fleet.world.RunFor(RandomTime(12000));
  for (const std::string& store : fleet.stores) {
    if (store != isolated) {
      Machine(store).LoseDisk();
      StartLater(store, seconds(1) + RandomTime(8000));
    }
  }
  fleet.world.Heal(isolated);
  fleet.world.RunFor(seconds(15));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, AllMachinesLosePower) {
  std::vector<std::string> machines = fleet.stores;
  for (int round = 0; round < 2; ++round) {
    fleet.world.RunFor(RandomTime(3000));
    for (const std::string& machine : machines) {
      Machine(machine).LosePower();
      StartLater(machine, RandomTime(3000));
    }
    machines.insert(machines.end(), fleet.fronts.begin(), fleet.fronts.end());
    fleet.world.RunFor(seconds(3));
    const TimePoint back = fleet.world.Now();
    EXPECT_TRUE(fleet.world.RunUntil([&] { return workload.ServedSince(back); }, seconds(12)))
        << FleetProblems();
  }
  HealAndVerify(10);
}

TEST_P(DurabilityTest, RetiredStoreIsDrainedThenLost) {
  ASSERT_TRUE(fleet.world.RunUntil([this] { return fleet.FullConfiguration(); }, seconds(20)));
  const std::string retired = RandomOf(fleet.stores);
  proto::RetireServerRequest request;
  request.set_machine(retired);
  const auto ask = [&] {
    for (const std::string& front : fleet.fronts) {
      fleet.world.CallPeer(Machine(front).endpoint(), "coordinator.RetireServer",
                           request.SerializeAsString(), seconds(2), [](const PeerReply&) {});
    }
  };
  ask();
  const auto drained = [&] {
    bool empty = false;
    fleet.world.CallPeer(Machine(retired).endpoint(), "backup.ListSegments", "", seconds(1),
                         [&](const PeerReply& reply) {
                           proto::ListSegmentsResponse held;
                           empty = reply.status.ok() && held.ParseFromString(reply.body) &&
                                   held.replicas().empty();
                         });
    fleet.world.RunFor(seconds(1));
    return empty;
  };
  int seconds_left = 60;
  while (!drained() && --seconds_left > 0) {
  }
  EXPECT_GT(seconds_left, 0) << FleetProblems();
  Machine(retired).LoseDisk();
  const std::string second = RandomOf(fleet.stores);
  Machine(second).LoseDisk();
  StartLater(second, seconds(2));
  fleet.world.RunFor(seconds(8));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, DisksFillUpAndAreFreed) {
  constexpr std::uint64_t kFull = 1;
  constexpr std::uint64_t kAmple = 1ULL << 40U;
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& name : {RandomOf(fleet.stores), RandomOf(fleet.fronts)}) {
      Machine(name).SetDiskLimit(kFull);
    }
    if (round == kRounds - 1) {
      for (const std::string& name : fleet.stores) {
        Machine(name).SetDiskLimit(kFull);  // No backup can store a new batch.
      }
    }
    fleet.world.RunFor(seconds(3) + RandomTime(3000));
    for (const std::vector<std::string>* machines : {&fleet.stores, &fleet.fronts}) {
      for (const std::string& name : *machines) {
        Machine(name).SetDiskLimit(kAmple);
        EXPECT_TRUE(Machine(name).running()) << name << " ended of a full disk";
      }
    }
    fleet.world.RunFor(seconds(2) + RandomTime(2000));
  }
  const TimePoint space_available_at = fleet.world.Now();
  EXPECT_TRUE(
      fleet.world.RunUntil([&] { return workload.ServedSince(space_available_at); }, seconds(10)));
  HealAndVerify(20);
}

TEST_P(DurabilityTest, RandomKillsFreezesAndPartitions) {
  fleet.world.network().request_loss = 0.003;
  fleet.world.network().reply_loss = 0.003;
  fleet.world.network().request_duplication = 0.01;
  for (int round = 0; round < 12; ++round) {
    const bool store = fleet.world.RandomBelow(3) != 0;
    const std::string name = RandomOf(store ? fleet.stores : fleet.fronts);
    SimulatedMachine& machine = Machine(name);
    if (machine.running()) {
      switch (fleet.world.RandomBelow(4)) {
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
          fleet.world.ScheduleAfter(RandomTime(25000), [&machine] { machine.Wake(); });
          break;
        default:
          fleet.world.Isolate(name);
          fleet.world.ScheduleAfter(RandomTime(9000), [this, name] { fleet.world.Heal(name); });
      }
    }
    fleet.world.RunFor(RandomTime(6000));
  }
  fleet.world.RunFor(seconds(25));
  HealAndVerify(10);
}

/// Finished batches are removed and the log is cleaned, over recoveries.
class CleaningTest : public DurabilityTest {
 protected:
  CleaningTest() : DurabilityTest(20) {}
};

TEST_P(CleaningTest, RemovedBatchesNeverComeBack) {
  for (int round = 0; round < 8; ++round) {
    fleet.world.RunFor(seconds(10));
    const std::string store = RandomOf(fleet.stores);
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

/// @file
/// Runs `BatchWorkload` on a complete batch fleet under random faults. All randomness comes from
/// the test's seed, so a failing seed fails the same way again.

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
  std::string PickRandom(const std::vector<std::string>& names) {
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

  /// @return the coordinators' fleet status as text, for failure messages.
  std::string DescribeFleet() {
    std::string problems;
    for (const std::string& front : fleet_.front_machines) {
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

  /// Ends all faults, waits until all batches have finished, and checks the guarantees of
  /// `BatchWorkload`.
  /// @param min_accepted how many batches must have been accepted at least, so that the test has
  /// checked something.
  void HealAndVerify(std::size_t min_accepted) {
    fleet_.world.HealAll();
    fleet_.world.network() = NetworkBehaviour();
    fleet_.StartAll();
    workload_.StopSubmitting();
    const bool done =
        fleet_.world.RunUntil([this] { return workload_.AllFinished(); }, seconds(120));
    EXPECT_TRUE(done) << workload_.DescribeUnfinished() << DescribeFleet();
    fleet_.world.RunFor(seconds(2));
    for (std::size_t i = 0; i < workload_.violations().size() && i < 10; ++i) {
      ADD_FAILURE() << workload_.violations()[i];
    }
    EXPECT_GE(workload_.accepted(), min_accepted);
    RecordProperty("accepted", static_cast<int>(workload_.accepted()));
    RecordProperty("unknown",
                   static_cast<int>(workload_.CountOutcome(proto::ITEM_OUTCOME_UNKNOWN)));
  }

  FleetWorld fleet_;
  BatchWorkload workload_;
};

TEST_P(DurabilityTest, FinishesAllBatchesWithoutFaults) {
  fleet_.world.RunFor(seconds(5));
  HealAndVerify(10);
  EXPECT_EQ(workload_.CountOutcome(proto::ITEM_OUTCOME_UNKNOWN), 0U);
}

TEST_P(DurabilityTest, SurvivesLossOfTwoDisksAtOnce) {
  ASSERT_TRUE(
      fleet_.world.RunUntil([this] { return fleet_.AllLogsFullyReplicated(); }, seconds(20)));
  fleet_.world.RunFor(RandomTime(1000));
  if (!fleet_.AllLogsFullyReplicated()) {
    ASSERT_TRUE(
        fleet_.world.RunUntil([this] { return fleet_.AllLogsFullyReplicated(); }, seconds(20)));
  }
  const std::uint64_t survivor = fleet_.world.RandomBelow(3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    if (i != survivor) {
      Machine(fleet_.store_machines[i]).LoseDisk();
      StartLater(fleet_.store_machines[i], seconds(1) + RandomTime(8000));
    }
  }
  fleet_.world.RunFor(seconds(15));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, SurvivesDisksLostOneAfterAnother) {
  for (int round = 0; round < 3; ++round) {
    ASSERT_TRUE(
        fleet_.world.RunUntil([this] { return fleet_.AllLogsFullyReplicated(); }, seconds(60)));
    const std::string first = PickRandom(fleet_.store_machines);
    Machine(first).LoseDisk();
    StartLater(first, RandomTime(6000));
    fleet_.world.RunFor(seconds(7));
  }
  HealAndVerify(20);
}

TEST_P(DurabilityTest, SurvivesLossOfBothOtherDisksAfterIsolation) {
  ASSERT_TRUE(
      fleet_.world.RunUntil([this] { return fleet_.AllLogsFullyReplicated(); }, seconds(20)));
  const std::string isolated = PickRandom(fleet_.store_machines);
  fleet_.world.Isolate(isolated);
  // After any time of isolation, losing both other disks must lose nothing that was acknowledged.
  fleet_.world.RunFor(RandomTime(12000));
  for (const std::string& store : fleet_.store_machines) {
    if (store != isolated) {
      Machine(store).LoseDisk();
      StartLater(store, seconds(1) + RandomTime(8000));
    }
  }
  fleet_.world.Heal(isolated);
  fleet_.world.RunFor(seconds(15));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, ServesAgainAfterPowerLossOfAllMachines) {
  std::vector<std::string> machines = fleet_.store_machines;
  for (int round = 0; round < 2; ++round) {
    fleet_.world.RunFor(RandomTime(3000));
    for (const std::string& machine : machines) {
      Machine(machine).LosePower();
      StartLater(machine, RandomTime(3000));
    }
    machines.insert(machines.end(), fleet_.front_machines.begin(), fleet_.front_machines.end());
    fleet_.world.RunFor(seconds(3));
    const TimePoint restarted_at = fleet_.world.Now();
    EXPECT_TRUE(fleet_.world.RunUntil(
        [&] { return workload_.AllPartitionsListedSince(restarted_at); }, seconds(12)))
        << DescribeFleet();
  }
  HealAndVerify(10);
}

TEST_P(DurabilityTest, SurvivesLossOfDrainedStoreAndAnotherDisk) {
  ASSERT_TRUE(
      fleet_.world.RunUntil([this] { return fleet_.AllLogsFullyReplicated(); }, seconds(20)));
  const std::string retired = PickRandom(fleet_.store_machines);
  proto::RetireServerRequest request;
  request.set_machine(retired);
  const auto request_retirement = [&] {
    for (const std::string& front : fleet_.front_machines) {
      fleet_.world.CallPeer(Machine(front).endpoint(), "coordinator.RetireServer",
                            request.SerializeAsString(), seconds(2), [](const PeerReply&) {});
    }
  };
  request_retirement();
  const auto is_drained = [&] {
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
  while (!is_drained() && --seconds_left > 0) {
  }
  EXPECT_GT(seconds_left, 0) << DescribeFleet();
  Machine(retired).LoseDisk();
  const std::string second = PickRandom(fleet_.store_machines);
  Machine(second).LoseDisk();
  StartLater(second, seconds(2));
  fleet_.world.RunFor(seconds(8));
  HealAndVerify(10);
}

TEST_P(DurabilityTest, ServesAgainAfterDisksWereFull) {
  constexpr std::uint64_t kFull = 1;
  constexpr std::uint64_t kAmple = 1ULL << 40U;
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& name :
         {PickRandom(fleet_.store_machines), PickRandom(fleet_.front_machines)}) {
      Machine(name).SetDiskLimit(kFull);
    }
    if (round == kRounds - 1) {
      for (const std::string& name : fleet_.store_machines) {
        Machine(name).SetDiskLimit(kFull);  // No backup on a store machine can store a new batch.
      }
    }
    fleet_.world.RunFor(seconds(3) + RandomTime(3000));
    for (const std::vector<std::string>* machines :
         {&fleet_.store_machines, &fleet_.front_machines}) {
      for (const std::string& name : *machines) {
        Machine(name).SetDiskLimit(kAmple);
        EXPECT_TRUE(Machine(name).running()) << name << " stopped running because of its full disk";
      }
    }
    fleet_.world.RunFor(seconds(2) + RandomTime(2000));
  }
  const TimePoint space_available_at = fleet_.world.Now();
  EXPECT_TRUE(fleet_.world.RunUntil(
      [&] { return workload_.AllPartitionsListedSince(space_available_at); }, seconds(10)));
  HealAndVerify(20);
}

TEST_P(DurabilityTest, SurvivesRandomKillsFreezesAndIsolation) {
  fleet_.world.network().request_loss = 0.003;
  fleet_.world.network().reply_loss = 0.003;
  fleet_.world.network().request_duplication = 0.01;
  for (int round = 0; round < 12; ++round) {
    const bool store = fleet_.world.RandomBelow(3) != 0;
    const std::string name = PickRandom(store ? fleet_.store_machines : fleet_.front_machines);
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

/// Finished batches are removed after 20 s and the log is cleaned, while queue nodes are recovered.
class CleaningTest : public DurabilityTest {
 protected:
  CleaningTest() : DurabilityTest(20) {}
};

TEST_P(CleaningTest, RemovedBatchesStayRemovedAfterRecovery) {
  for (int round = 0; round < 8; ++round) {
    fleet_.world.RunFor(seconds(10));
    const std::string store = PickRandom(fleet_.store_machines);
    if (Machine(store).running()) {
      Machine(store).LosePower();
      StartLater(store, RandomTime(5000));
    }
  }
  HealAndVerify(20);
}

/// @return the number of seeds. To run more of them:
/// CLOVERBANK_SEEDS=200 test_queue --gtest_filter=...
int SeedCount() {
  constexpr int kDefaultSeeds = 4;
  return static_cast<int>(NumberFromEnvironment("CLOVERBANK_SEEDS", kDefaultSeeds));
}

INSTANTIATE_TEST_SUITE_P(Seeds, DurabilityTest, testing::Range(1, SeedCount() + 1));
INSTANTIATE_TEST_SUITE_P(Seeds, CleaningTest, testing::Range(1, SeedCount() + 1));

}  // namespace
}  // namespace cloverbank

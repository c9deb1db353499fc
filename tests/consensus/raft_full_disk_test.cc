// Members whose disks are full for a time must neither stop nor lose acknowledged commands.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "consensus/raft_cluster.h"
#include "support/test_seeds.h"

namespace cloverbank {
namespace {

constexpr std::size_t kMembers = 5;
constexpr std::uint64_t kFullDiskBytes = 1;
constexpr std::uint64_t kAmpleDiskBytes = 1U << 30U;
constexpr std::uint64_t kDefaultSeeds = 10;
constexpr int kRounds = 8;

ClusterOptions Options(std::uint64_t seed) {
  ClusterOptions options;
  options.size = kMembers;
  options.seed = seed;
  return options;
}

class FullDiskRun {
 public:
  explicit FullDiskRun(std::uint64_t seed) : cluster(Options(seed)) { cluster.StartAll(); }

  bool HasLeader(Duration limit) {
    return cluster.RunUntil([this] { return cluster.Leader() != cluster.size(); }, limit);
  }
  /// Proposes commands until one is acknowledged. @return whether that was within `limit`.
  bool Acknowledges(Duration limit) {
    const std::size_t before = cluster.record().acknowledged.size();
    return cluster.RunUntil(
        [&, next = cluster.world().Now()]() mutable {
          if (cluster.world().Now() >= next && cluster.Leader() < cluster.size()) {
            cluster.Propose(cluster.Leader());
            next = cluster.world().Now() + milliseconds(100);
          }
          return cluster.record().acknowledged.size() > before;
        },
        limit);
  }
  void FillDisk(std::size_t member) { cluster.machine(member).SetDiskLimit(kFullDiskBytes); }
  void FreeAllDisks() {
    for (std::size_t member = 0; member < kMembers; ++member) {
      cluster.machine(member).SetDiskLimit(kAmpleDiskBytes);
    }
  }
  std::uint64_t Term(std::size_t member) { return cluster.process(member)->node.term(); }

  RaftCluster cluster;
};

TEST(RaftFullDiskTest, LeaderWithAFullDiskTransfersLeadership) {
  FullDiskRun run(1);
  ASSERT_TRUE(run.Acknowledges(seconds(5)));
  const std::size_t leader = run.cluster.Leader();
  run.FillDisk(leader);
  ASSERT_TRUE(run.Acknowledges(seconds(2)));
  run.cluster.RunFor(seconds(1));
  ASSERT_TRUE(run.HasLeader(seconds(2)));
  EXPECT_NE(run.cluster.Leader(), leader);
  EXPECT_TRUE(run.cluster.record().failures.empty()) << "a full disk is not fatal";
  run.FreeAllDisks();
  EXPECT_TRUE(run.cluster.RunUntil([&] { return run.cluster.HasConverged(); }, seconds(5)));
  EXPECT_TRUE(run.cluster.record().failures.empty());
}

TEST(RaftFullDiskTest, FollowersWithFullDisksCauseNoElection) {
  FullDiskRun run(2);
  ASSERT_TRUE(run.Acknowledges(seconds(5)));
  const std::size_t leader = run.cluster.Leader();
  const std::uint64_t term = run.Term(leader);
  run.FillDisk((leader + 1) % kMembers);
  run.FillDisk((leader + 2) % kMembers);
  for (int second = 0; second < 10; ++second) {
    ASSERT_TRUE(run.Acknowledges(seconds(1)));
    run.cluster.RunFor(seconds(1));
  }
  EXPECT_EQ(run.cluster.Leader(), leader);
  EXPECT_EQ(run.Term(leader), term);
  run.FreeAllDisks();
  EXPECT_TRUE(run.cluster.RunUntil([&] { return run.cluster.HasConverged(); }, seconds(5)));
}

TEST(RaftFullDiskTest, RecoversOnceDisksHaveSpace) {
  FullDiskRun run(3);
  ASSERT_TRUE(run.Acknowledges(seconds(5)));
  for (std::size_t member = 0; member < kMembers; ++member) {
    run.FillDisk(member);
  }
  EXPECT_FALSE(run.Acknowledges(seconds(3)));
  run.FreeAllDisks();
  EXPECT_TRUE(run.Acknowledges(seconds(3)));
  EXPECT_TRUE(run.cluster.record().failures.empty());
}

TEST(RaftFullDiskTest, LosesNothingUnderFullDisksAndPowerLoss) {
  for (const std::uint64_t seed : TestSeeds(kDefaultSeeds)) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FullDiskRun run(seed);
    ASSERT_TRUE(run.Acknowledges(seconds(5)));
    for (int round = 0; round < kRounds; ++round) {
      SimulatedWorld& world = run.cluster.world();
      for (std::uint64_t count = 1 + world.RandomBelow(3); count > 0; --count) {
        run.FillDisk(world.RandomBelow(kMembers));
      }
      for (int step = 0; step < 20; ++step) {
        if (run.cluster.Leader() < kMembers) {
          run.cluster.Propose(run.cluster.Leader());
        }
        run.cluster.RunFor(milliseconds(world.RandomBelow(100)));
        if (world.RandomBelow(15) == 0) {
          run.cluster.machine(world.RandomBelow(kMembers)).LosePower();
        }
      }
      run.cluster.StartAll();
      run.FreeAllDisks();
      ASSERT_TRUE(run.Acknowledges(seconds(8))) << "round " << round;
    }
    EXPECT_TRUE(run.cluster.RunUntil([&] { return run.cluster.HasConverged(); }, seconds(8)));
    EXPECT_TRUE(run.cluster.record().failures.empty());
  }
}

}  // namespace
}  // namespace cloverbank

// A group of five voters, with three spares, must survive two failures at once, and two more after
// each repair.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "consensus/raft_cluster.h"
#include "support/test_seeds.h"

namespace cloverbank {
namespace {

constexpr std::size_t kMachines = 8;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kVoters = 5;
constexpr int kRounds = 6;
constexpr std::uint64_t kDefaultSeeds = 6;

ClusterOptions Options(std::uint64_t seed) {
  ClusterOptions options;
  options.size = kMachines;
  options.seeds = kSeeds;
  options.seed = seed;
  options.node.wanted_voters = kVoters;
  options.node.replace_unresponsive_after = milliseconds(1500);
  return options;
}

class MachineLossRun {
 public:
  explicit MachineLossRun(std::uint64_t seed) : cluster(Options(seed)) { cluster.StartAll(); }

  /// @return the machines on which voters of the leader's configuration run; none without a leader.
  std::vector<std::size_t> Voters() {
    std::vector<std::size_t> voters;
    const std::size_t leader = cluster.Leader();
    if (leader == cluster.size()) {
      return voters;
    }
    for (const LogMember& member : cluster.process(leader)->node.members()) {
      for (std::size_t machine = 0; machine < cluster.size(); ++machine) {
        const bool runs_member =
            cluster.process(machine) != nullptr &&
            cluster.process(machine)->node.core().member_id() == member.member_id;
        if (runs_member && !member.learner) {
          voters.push_back(machine);
        }
      }
    }
    return voters;
  }
  /// @return whether all voters of a full group run within `limit`.
  bool WaitForAllVoters(Duration limit) {
    return cluster.RunUntil([this] { return Voters().size() == kVoters; }, limit);
  }
  /// Proposes commands until one is acknowledged. @return whether that was within `limit`.
  bool Acknowledges(Duration limit) {
    const std::size_t before = cluster.record().acknowledged.size();
    const TimePoint end = cluster.world().Now() + limit;
    while (cluster.record().acknowledged.size() == before && cluster.world().Now() < end) {
      if (const std::size_t leader = cluster.Leader(); leader < cluster.size()) {
        cluster.Propose(leader);
      }
      cluster.RunFor(milliseconds(100));
    }
    return cluster.record().acknowledged.size() > before;
  }
  /// @return the machines of two random voters, with the leader's among them in even rounds.
  std::vector<std::size_t> DrawTwoVoters(int round) {
    std::vector<std::size_t> voters = Voters();
    const std::size_t leader = cluster.Leader();
    std::vector<std::size_t> drawn;
    if (round % 2 == 0) {
      drawn.push_back(leader);
    }
    while (drawn.size() < 2) {
      const std::size_t machine = voters[cluster.world().RandomBelow(voters.size())];
      if (std::find(drawn.begin(), drawn.end(), machine) == drawn.end()) {
        drawn.push_back(machine);
      }
    }
    return drawn;
  }

  RaftCluster cluster;
};

TEST(RaftLossesTest, SurvivesRepeatedLossOfTwoDisks) {
  for (const std::uint64_t seed : TestSeeds(kDefaultSeeds)) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineLossRun run(seed);
    ASSERT_TRUE(run.WaitForAllVoters(seconds(10)));
    for (int round = 0; round < kRounds; ++round) {
      ASSERT_TRUE(run.Acknowledges(seconds(3))) << "round " << round;
      for (const std::size_t lost : run.DrawTwoVoters(round)) {
        run.cluster.machine(lost).LoseDisk();
      }
      run.cluster.RunFor(milliseconds(300));
      run.cluster.StartAll();
      ASSERT_TRUE(run.Acknowledges(seconds(5))) << "round " << round;
      ASSERT_TRUE(run.WaitForAllVoters(seconds(10))) << "round " << round;
    }
    EXPECT_TRUE(run.cluster.record().failures.empty());
  }
}

TEST(RaftLossesTest, SparesReplaceAllSeeds) {
  for (const std::uint64_t seed : TestSeeds(kDefaultSeeds)) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineLossRun run(seed);
    ASSERT_TRUE(run.WaitForAllVoters(seconds(10)));
    for (std::size_t removed = 0; removed < kSeeds; ++removed) {
      run.cluster.machine(removed).LosePower();  // It does not start again.
      run.cluster.RunFor(seconds(8));
      ASSERT_TRUE(run.Acknowledges(seconds(3))) << "seed machine " << removed;
      EXPECT_EQ(run.Voters().size(), kVoters) << "seed machine " << removed;
    }
    EXPECT_TRUE(run.cluster.record().failures.empty());
  }
}

TEST(RaftLossesTest, ReplacesTwoVotersWithoutPower) {
  for (const std::uint64_t seed : TestSeeds(kDefaultSeeds)) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineLossRun run(seed);
    ASSERT_TRUE(run.WaitForAllVoters(seconds(10)));
    for (int round = 0; round < kRounds; ++round) {
      for (const std::size_t lost : run.DrawTwoVoters(round)) {
        run.cluster.machine(lost).LosePower();
      }
      ASSERT_TRUE(run.Acknowledges(seconds(3))) << "round " << round;
      ASSERT_TRUE(run.WaitForAllVoters(seconds(12))) << "round " << round;
      run.cluster.StartAll();
      run.cluster.RunFor(seconds(2));
      EXPECT_EQ(run.Voters().size(), kVoters) << "round " << round;
    }
    EXPECT_TRUE(run.cluster.record().failures.empty());
  }
}

}  // namespace
}  // namespace cloverbank

#include "consensus/raft_node.h"

#include <gtest/gtest.h>

#include "consensus/raft_cluster.h"

namespace cloverbank {
namespace {

constexpr char kLogFile[] = "consensus/log";

class RaftNodeTest : public testing::Test {
 protected:
  explicit RaftNodeTest(const ClusterOptions& options = {.size = 3, .seed = 1})
      : cluster(options) {}

  void FormGroup() {
    cluster.StartAll();
    ASSERT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete(); }, seconds(5)));
  }
  void ProposeAndWait(int count) {
    const std::size_t wanted = record().acknowledged.size() + static_cast<std::size_t>(count);
    for (; count > 0; --count) {
      cluster.Propose(cluster.Leader());
    }
    ASSERT_TRUE(cluster.RunUntil(
        [&] { return record().acknowledged.size() == wanted && cluster.HasConverged(); },
        seconds(5)));
  }
  /// @return a member that does not lead.
  std::size_t Follower() { return cluster.Leader() == 0 ? 1 : 0; }
  RunRecord& record() { return cluster.record(); }
  std::uint64_t MemberId(std::size_t member) {
    return cluster.process(member)->node.core().member_id();
  }

  RaftCluster cluster;
};

class RaftNodeSnapshotTest : public RaftNodeTest {
 protected:
  RaftNodeSnapshotTest() : RaftNodeTest(Options()) {}
  static ClusterOptions Options() {
    ClusterOptions options;
    options.node.snapshot_threshold_entries = 10;
    options.node.trailing_entries = 0;
    options.node.snapshot_chunk_bytes = 16;
    return options;
  }
};

class RaftNodeReplacementTest : public RaftNodeTest {
 protected:
  RaftNodeReplacementTest() : RaftNodeTest(Options()) {}
  static ClusterOptions Options() {
    ClusterOptions options;
    options.node.wanted_voters = 3;
    options.node.replace_unresponsive_after = milliseconds(1500);
    return options;
  }
  /// Starts members from now on with seeds at which nobody runs.
  void NameNoMemberAsSeed() {
    cluster.node_options().seeds = {{"10.0.8.1", 7401}, {"10.0.8.2", 7401}, {"10.0.8.3", 7401}};
  }
  void KnowMember(std::size_t member) {
    const Endpoint endpoint = cluster.machine(member).endpoint();
    cluster.node_options().known_coordinators = [endpoint] { return std::vector{endpoint}; };
  }
};

TEST_F(RaftNodeTest, SeedsFormOneGroup) {
  FormGroup();
  ProposeAndWait(20);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, FormsNoGroupBeforeEverySeedAnswers) {
  cluster.machine(0).Start();
  cluster.machine(1).Start();
  cluster.RunFor(seconds(20));
  EXPECT_TRUE(cluster.process(0)->node.core().IsEmpty());
  cluster.machine(2).Start();
  EXPECT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete(); }, seconds(5)));
}

TEST_F(RaftNodeTest, SeedsWithEmptiedDisksFormNoNewGroup) {
  FormGroup();
  ProposeAndWait(3);
  cluster.machine(0).LoseDisk();
  cluster.machine(1).LoseDisk();
  cluster.StartAll();
  cluster.RunFor(seconds(30));
  EXPECT_TRUE(cluster.process(0)->node.core().IsEmpty());
  EXPECT_TRUE(cluster.process(1)->node.core().IsEmpty());
  EXPECT_FALSE(cluster.process(2)->node.core().IsEmpty());
  EXPECT_EQ(cluster.Leader(), cluster.size());
}

TEST_F(RaftNodeTest, MemberWithAnEmptiedDiskRejoinsUnderANewId) {
  FormGroup();
  ProposeAndWait(30);
  const std::size_t member = Follower();
  const std::uint64_t old_id = MemberId(member);
  cluster.machine(member).LoseDisk();
  cluster.machine(member).Start();
  EXPECT_FALSE(cluster.IsComplete());
  ASSERT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete(); }, seconds(5)));
  EXPECT_NE(MemberId(member), old_id);
  ProposeAndWait(1);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, ReplacesAMemberThatIsNoLongerASeed) {
  FormGroup();
  ProposeAndWait(5);
  cluster.ReplaceMachine(2, "10.0.0.9");
  cluster.machine(2).Start();
  for (const std::size_t member : {0, 1}) {
    cluster.machine(member).Kill();
    cluster.machine(member).Start();
  }
  ASSERT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete(); }, seconds(8)));
  ProposeAndWait(1);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeReplacementTest, NewMachineWhoseSeedsNameNoMemberBecomesAVoter) {
  FormGroup();
  ProposeAndWait(5);
  cluster.ReplaceMachine(2, "10.0.0.9");
  NameNoMemberAsSeed();
  KnowMember(0);
  cluster.machine(2).Start();
  ASSERT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete(); }, seconds(5)));
  ProposeAndWait(1);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeReplacementTest, EmptiedMemberWhoseSeedsNameNoMemberBecomesAVoter) {
  FormGroup();
  ProposeAndWait(5);
  const std::size_t emptied = Follower();
  cluster.machine(emptied).LoseDisk();
  NameNoMemberAsSeed();
  KnowMember(cluster.Leader());
  cluster.machine(emptied).Start();
  ASSERT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete(); }, seconds(5)));
  ProposeAndWait(1);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, MovedDiskKeepsItsMemberId) {
  FormGroup();
  ProposeAndWait(5);
  const std::uint64_t id = MemberId(2);
  SimulatedMachine& old_machine = cluster.machine(2);
  cluster.ReplaceMachine(2, "10.0.0.9");
  for (const char* file : {"consensus/metadata", kLogFile}) {
    cluster.machine(2).disk().Replace(file, *old_machine.disk().Read(file), [](const Status&) {});
  }
  cluster.RunFor(milliseconds(1));
  cluster.machine(2).Start();
  const auto reached = [&] {
    const std::size_t leader = cluster.Leader();
    return leader != cluster.size() &&
           cluster.process(leader)->node.members().at(2).endpoint == cluster.machine(2).endpoint();
  };
  ASSERT_TRUE(cluster.RunUntil(reached, seconds(8)));
  EXPECT_EQ(MemberId(2), id);
  ProposeAndWait(1);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, TransfersLeadershipWithoutATimeout) {
  FormGroup();
  ProposeAndWait(5);
  for (int round = 0; round < 20; ++round) {
    const std::size_t old_leader = cluster.Leader();
    const TimePoint start = cluster.world().Now();
    ASSERT_TRUE(cluster.process(old_leader)->node.TransferLeadership().ok());
    ASSERT_TRUE(cluster.RunUntil(
        [&] { return cluster.Leader() != old_leader && cluster.Leader() != cluster.size(); },
        seconds(2)));
    EXPECT_LT(cluster.world().Now() - start, milliseconds(200))
        << "the transfer must not wait for an election timeout";
    cluster.RunFor(milliseconds(300));
  }
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, AcknowledgedCommandsSurvivePowerLoss) {
  FormGroup();
  ProposeAndWait(30);
  for (std::size_t member = 0; member < cluster.size(); ++member) {
    cluster.machine(member).LosePower();
  }
  cluster.StartAll();
  EXPECT_TRUE(cluster.RunUntil([this] { return cluster.IsComplete() && cluster.HasConverged(); },
                               seconds(3)));
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, ResumedLeaderHasNoLease) {
  FormGroup();
  const std::size_t old_leader = cluster.Leader();
  ASSERT_TRUE(cluster.process(old_leader)->node.HasLeaderLease());
  cluster.machine(old_leader).Freeze();
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Leader() != old_leader; }, seconds(2)));
  EXPECT_FALSE(cluster.process(old_leader)->node.HasLeaderLease());
  cluster.machine(old_leader).Wake();
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.process(old_leader)->node.core().role(), RaftRole::kFollower);
  EXPECT_TRUE(record().failures.empty());
}

TEST_F(RaftNodeTest, RejoiningMemberDoesNotDisturbTheLeader) {
  FormGroup();
  const std::uint64_t term = cluster.process(cluster.Leader())->node.term();
  const std::size_t member = Follower();
  cluster.world().Isolate(cluster.name(member));
  cluster.RunFor(seconds(10));
  cluster.world().HealAll();
  cluster.RunFor(seconds(3));
  EXPECT_EQ(cluster.process(cluster.Leader())->node.term(), term);
}

TEST_F(RaftNodeTest, FailedSyncStopsTheMember) {
  FormGroup();
  const std::size_t leader = cluster.Leader();
  cluster.machine(leader).FailSyncs(true);
  cluster.Propose(leader);
  ASSERT_TRUE(cluster.RunUntil(
      [&] { return cluster.Leader() != leader && cluster.Leader() != cluster.size(); },
      seconds(3)));
  ASSERT_EQ(record().failures.size(), 1U);
  EXPECT_NE(record().failures[0].find("a member stopped: io_error"), std::string::npos);
  EXPECT_FALSE(cluster.process(leader)->node.HasLeaderLease());
}

TEST_F(RaftNodeTest, DetectsDamageBeforeTheLastWrite) {
  FormGroup();
  ProposeAndWait(1);
  ProposeAndWait(1);
  const std::size_t member = Follower();
  cluster.machine(member).Kill();
  ASSERT_TRUE(cluster.machine(member).FlipBit(kLogFile, 20).ok());
  cluster.machine(member).Start();
  ASSERT_EQ(record().failures.size(), 1U);
  EXPECT_NE(record().failures[0].find("a disk does not load: corrupt"), std::string::npos);
}

TEST_F(RaftNodeSnapshotTest, LaggingMemberCatchesUpFromASnapshot) {
  FormGroup();
  const std::size_t member = Follower();
  cluster.machine(member).Kill();
  for (int count = 0; count < 50; ++count) {
    cluster.Propose(cluster.Leader());
    cluster.RunFor(milliseconds(20));
  }
  cluster.machine(member).Start();
  ASSERT_TRUE(cluster.RunUntil([this] { return cluster.HasConverged(); }, seconds(5)));
  EXPECT_GE(cluster.process(member)->node.core().log().base_index(), 40U);
  EXPECT_LE(cluster.process(cluster.Leader())->node.core().log().last_index() -
                cluster.process(cluster.Leader())->node.core().log().base_index(),
            20U);
  EXPECT_TRUE(record().failures.empty());
}

TEST(RaftBootstrapTest, SingleSeedBecomesLeader) {
  RaftCluster cluster({.size = 1, .seed = 1});
  cluster.StartAll();
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.IsComplete(); }, seconds(3)));
  cluster.Propose(0);
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.record().acknowledged.size(), 1U);
  EXPECT_TRUE(cluster.process(0)->node.HasLeaderLease());
}

// One seed loses its power or its disk during the bootstrap, 10 ms later in each run.
TEST(RaftBootstrapTest, SurvivesTheLossOfASeedAtAnyMoment) {
  for (int moment = 0; moment < 120; ++moment) {
    RaftCluster cluster({.size = 3, .seed = 1 + static_cast<std::uint64_t>(moment)});
    cluster.StartAll();
    cluster.RunFor(milliseconds(10 * moment));
    SimulatedMachine& victim = cluster.machine(static_cast<std::size_t>(moment) % 2);
    if (moment % 3 == 0) {
      victim.LosePower();
    } else {
      victim.LoseDisk();
    }
    cluster.RunFor(milliseconds(moment % 7 * 50));
    victim.Start();
    EXPECT_TRUE(cluster.RunUntil([&] { return cluster.IsComplete(); }, seconds(10))) << moment;
    EXPECT_TRUE(cluster.record().failures.empty()) << moment;
  }
}

}  // namespace
}  // namespace cloverbank

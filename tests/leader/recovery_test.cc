// Recoveries, with backups and queue nodes that answer at once.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"
#include "leader/arrival_gate.h"
#include "leader/backup_sweeper.h"
#include "leader/log_assembly.h"
#include "leader/partition_placement.h"
#include "leader/recovery_manager.h"

namespace cloverbank {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

proto::StoredSegment Stored(std::uint64_t segment, std::uint64_t length, std::uint64_t epoch,
                            bool closed, const std::vector<std::uint64_t>& digest) {
  proto::StoredSegment stored;
  stored.set_segment_id(segment);
  stored.set_length(length);
  stored.set_epoch(epoch);
  stored.set_closed(closed);
  stored.mutable_digest()->Add(digest.begin(), digest.end());
  return stored;
}

/// A dead queue node whose head is segment 3 of the log {2, 3}, epoch 2, on three backups.
class AssemblyTest : public testing::Test {
 protected:
  AssemblyTest() {
    node = control.Register(proto::ROLE_QUEUE, "dead", 1);
    for (const char* machine : {"s1", "s2", "s3", "s4"}) {
      backups.push_back(control.Register(proto::ROLE_BACKUP, machine, 2));
    }
    control.CommitHead(node, 2, 5, {backups[0], backups[1], backups[2]});
    control.CommitHead(node, 3, 2, {backups[0], backups[1], backups[2]});
  }
  void Put(std::size_t backup, const proto::StoredSegment& stored) {
    *answers[backups[backup]].add_segments() = stored;
  }
  AssembledLog Assemble() {
    return AssembleLog(control.state.partitions().heads().at(node), answers,
                       control.state.servers());
  }

  ControlDriver control;
  NodeId node;
  std::vector<NodeId> backups;
  StoredSegments answers;
};

TEST_F(AssemblyTest, WaitsForTheCommittedHeadAndNamesItsBackups) {
  Put(0, Stored(2, 10, 5, true, {2}));
  Put(1, Stored(3, 99, 1, false, {2, 3}));  // An epoch that was superseded.
  Put(3, Stored(3, 99, 2, false, {2, 3}));  // Not in the committed set.
  const AssembledLog log = Assemble();
  EXPECT_THAT(log.missing, ElementsAre(HasSubstr("head segment 3 under epoch 2, kept by s1")));
}

TEST_F(AssemblyTest, LongestCurrentCopyOfTheHeadAndAnyClosedCopyOfTheRest) {
  Put(0, Stored(3, 40, 2, false, {2, 3}));
  Put(1, Stored(3, 50, 2, false, {2, 3}));
  Put(2, Stored(3, 99, 1, false, {2, 3}));
  Put(3, Stored(3, 50, 3, false, {2, 3}));  // A later epoch, never committed: holds everything.
  Put(2, Stored(2, 10, 5, true, {2}));
  Put(3, Stored(2, 70, 4, false, {2}));
  const AssembledLog log = Assemble();
  ASSERT_TRUE(log.complete());
  ASSERT_EQ(log.segments.size(), 2U);
  EXPECT_EQ(log.segments[0].segment, SegmentId(2));
  EXPECT_THAT(log.segments[0].backups, ElementsAre(backups[2]));
  EXPECT_THAT(log.segments[1].backups, ElementsAre(backups[1], backups[3]));
}

TEST_F(AssemblyTest, SegmentsOfTheDigestAreNotMissedSilently) {
  Put(0, Stored(3, 40, 2, false, {1, 2, 3}));
  Put(1, Stored(1, 10, 1, false, {1}));  // Neither closed nor the segment before the head.
  Put(3, Stored(2, 10, 5, false, {2}));  // Never in the committed set.
  EXPECT_THAT(Assemble().missing, ElementsAre(HasSubstr("segment 1"), HasSubstr("segment 2")));
}

TEST_F(AssemblyTest, SegmentBeforeTheHeadCountsUnclosedUnderItsCommittedEpoch) {
  Put(0, Stored(3, 40, 2, false, {2, 3}));
  Put(1, Stored(2, 10, 5, false, {2}));
  Put(2, Stored(2, 12, 4, false, {2}));
  const AssembledLog log = Assemble();
  ASSERT_TRUE(log.complete());
  EXPECT_THAT(log.segments[0].backups, ElementsAre(backups[1]));
}

TEST_F(AssemblyTest, RestartedBackupIsKnownByItsDisk) {
  const NodeId restarted = control.Register(proto::ROLE_BACKUP, "s1", 77);
  *answers[restarted].add_segments() = Stored(3, 40, 2, false, {3});
  EXPECT_TRUE(Assemble().complete());
}

/// Backups and queue nodes that answer at once; what is proposed is applied at once.
class RecoveryTest : public testing::Test {
 protected:
  RecoveryTest() {
    dead = control.Register(proto::ROLE_QUEUE, "dead", 1);
    first = control.Register(proto::ROLE_QUEUE, "q1", 2);
    second = control.Register(proto::ROLE_QUEUE, "q2", 3);
    backup = control.Register(proto::ROLE_BACKUP, "s1", 4);
    spare = control.Register(proto::ROLE_BACKUP, "s2", 5);
    control.Assign(dead, {0, 1, 2, 3});
    control.CommitHead(dead, 1, 1, {backup});
    Store(backup, dead);
  }
  void Store(NodeId at, NodeId owner) {
    *disks[at][owner].add_segments() = Stored(1, 10, 1, false, {1});
  }

  void Execute(const StartReadingAction& action) {
    if (unreachable.contains(action.backup)) {
      manager.HandleReadingData(action.dead, action.backup,
                                Status(StatusCode::kUnavailable, "no route"));
      return;
    }
    manager.HandleReadingData(action.dead, action.backup, disks[action.backup][action.dead]);
  }
  void Execute(const ProposeReplayAction& action) {
    proto::ControlCommand command;
    *command.mutable_start_replay() = action.command;
    EXPECT_EQ(ControlDriver::CodeOf(control.Apply(command)), StatusCode::kOk);
  }
  void Execute(const RecoverPartitionsAction& action) {
    const NodeId node(action.request.queue_node_id());
    EXPECT_FALSE(action.request.segments().empty());
    replays.push_back(action.request);
    if (!stuck.contains(node)) {
      const auto& ids = action.request.partition_ids();
      control.FinishAssignment(NodeId(action.request.dead_node_id()), node,
                               {ids.begin(), ids.end()});
    }
  }
  void Execute(const ReleaseAction& action) {
    disks[action.backup].erase(action.dead);
    manager.HandleReleased(action.dead, action.backup,
                           unreachable.contains(action.backup)
                               ? Status(StatusCode::kUnavailable, "no route")
                               : Status::Ok());
  }
  void Execute(const ProposeFinishAction& action) { control.FinishRecovery(action.dead); }

  void Step(int times = 1) {
    for (int time = 0; time < times; ++time) {
      facts.now += milliseconds(600);
      for (const RecoveryAction& action : manager.Step(control.state, facts)) {
        std::visit([this](const auto& one) { Execute(one); }, action);
      }
    }
  }
  bool IsOver() const { return control.state.partitions().recoveries().empty(); }
  std::size_t Owned(NodeId node) const {
    return control.state.partitions().FindOwnedBy(node).size();
  }

  ControlDriver control;
  RecoveryManager manager{RecoveryOptions{}};
  RecoveryInput facts;
  NodeId dead, first, second, backup, spare;
  std::map<NodeId, std::map<NodeId, proto::StartReadingDataResponse>> disks;
  std::set<NodeId> unreachable;
  std::set<NodeId> stuck;
  std::vector<proto::RecoverPartitionsRequest> replays;
};

TEST_F(RecoveryTest, SpreadsOverTheLiveAndReleases) {
  control.DeclareDead(dead);
  Step(6);
  EXPECT_TRUE(IsOver());
  EXPECT_EQ(Owned(first), 2U);
  EXPECT_EQ(Owned(second), 2U);
  EXPECT_THAT(disks[backup], IsEmpty());
}

TEST_F(RecoveryTest, WaitsInWordsUntilTheHeadIsFound) {
  unreachable.insert(backup);
  control.DeclareDead(dead);
  Step(20);
  EXPECT_THAT(replays, IsEmpty());
  EXPECT_THAT(
      manager.DescribeAwaited(control.state, dead),
      AllOf(HasSubstr("head segment 1"), HasSubstr("the backup on s1"), HasSubstr("no route")));
  // The backup restarts: another node id, the same disk.
  const NodeId restarted = control.Register(proto::ROLE_BACKUP, "s1", 40);
  Store(restarted, dead);
  Step(6);
  EXPECT_TRUE(IsOver());
}

TEST_F(RecoveryTest, DeadAssigneeIsReplaced) {
  stuck = {first, second};
  control.DeclareDead(dead);
  Step(3);
  control.CommitHead(first, 1, 1, {backup});
  Store(backup, first);
  control.DeclareDead(first);
  stuck.clear();
  Step(8);
  EXPECT_TRUE(IsOver());
  EXPECT_EQ(Owned(second), 4U);
}

TEST_F(RecoveryTest, GoesOnWithoutQueueNodesOnceOneComes) {
  control.DeclareDead(dead);
  control.DeclareDead(first);
  control.DeclareDead(second);
  Step(5);
  EXPECT_THAT(manager.DescribeAwaited(control.state, dead), HasSubstr("a queue node"));
  const NodeId third = control.Register(proto::ROLE_QUEUE, "q3", 9);
  Step(5);
  EXPECT_EQ(Owned(third), 4U);
}

TEST_F(RecoveryTest, ReleaseWaitsForEveryLiveBackup) {
  unreachable.insert(spare);
  control.DeclareDead(dead);
  Step(8);
  EXPECT_EQ(control.state.partitions().recoveries().at(dead).phase(),
            proto::RECOVERY_PHASE_RELEASING);
  EXPECT_THAT(manager.DescribeAwaited(control.state, dead), HasSubstr("the backup on s2"));
  control.DeclareDead(spare);
  Step(2);
  EXPECT_TRUE(IsOver());
}

// A new leader knows only what is replicated, whichever phase it finds.
class LeaderChangeTest : public RecoveryTest, public testing::WithParamInterface<int> {};

TEST_P(LeaderChangeTest, RecoveryGoesOn) {
  stuck = {first, second};
  control.DeclareDead(dead);
  for (int step = 0; step < 10; ++step) {
    if (step == GetParam()) {
      manager.Reset();
    }
    if (step == 3) {
      stuck.clear();
    }
    Step();
  }
  EXPECT_TRUE(IsOver());
  EXPECT_EQ(Owned(first) + Owned(second), 4U);
}

INSTANTIATE_TEST_SUITE_P(AtAnyStep, LeaderChangeTest, testing::Range(0, 7));

// The replaying node dies too, owning one of the dead node's partitions by then.
TEST_F(RecoveryTest, SeveralRecoveriesAtOnce) {
  control.CommitHead(first, 1, 1, {spare});
  Store(spare, first);
  stuck = {first, second};
  control.DeclareDead(dead);
  Step(2);
  control.FinishAssignment(dead, first, {0});
  control.DeclareDead(first);
  EXPECT_EQ(control.state.partitions().recoveries().size(), 2U);
  stuck.clear();
  Step(8);
  EXPECT_TRUE(IsOver());
  EXPECT_EQ(Owned(second), 4U);
}

// Each dead node had one partition: the first to be told would have replayed them all.
TEST_F(RecoveryTest, LogsThatAreCompleteAtTheSameTimeGoToDifferentNodes) {
  ControlDriver fleet;
  std::vector<NodeId> owners;
  const NodeId keeper = fleet.Register(proto::ROLE_BACKUP, "s1", 1);
  for (const char* machine : {"d1", "d2", "d3", "d4"}) {
    owners.push_back(fleet.Register(proto::ROLE_QUEUE, machine, 1));
    fleet.Assign(owners.back(), {owners.size() - 1});
    fleet.CommitHead(owners.back(), 1, 1, {keeper});
  }
  for (const char* machine : {"q1", "q2", "q3", "q4"}) {
    fleet.Register(proto::ROLE_QUEUE, machine, 2);
  }
  for (const NodeId owner : owners) {
    fleet.DeclareDead(owner);
  }
  RecoveryManager recoveries{RecoveryOptions()};
  recoveries.Step(fleet.state, {TimePoint(seconds(100)), false, {}});
  for (const NodeId owner : owners) {
    proto::StartReadingDataResponse answer;
    *answer.add_segments() = Stored(1, 10, 1, true, {1});
    recoveries.HandleReadingData(owner, keeper, answer);
  }
  std::set<std::uint64_t> assigned;
  for (const RecoveryAction& action :
       recoveries.Step(fleet.state, {TimePoint(seconds(101)), true, {}})) {
    if (const auto* replay = std::get_if<ProposeReplayAction>(&action)) {
      EXPECT_EQ(replay->command.assignments_size(), 1);
      assigned.insert(replay->command.assignments(0).queue_node_id());
    }
  }
  EXPECT_EQ(assigned.size(), 4U);
}

TEST_F(RecoveryTest, GateWaitsForArrivalsButNotForEver) {
  ArrivalGate gate(milliseconds(700), seconds(2));
  TimePoint now{seconds(50)};
  EXPECT_FALSE(gate.Update(control.state, {}, true, now));
  EXPECT_TRUE(gate.Update(control.state, {}, true, now + milliseconds(700)));
  gate.Reset();
  for (int arrival = 0; arrival < 3; ++arrival) {
    control.Register(proto::ROLE_QUEUE, "new" + std::to_string(arrival), 1);
    EXPECT_FALSE(gate.Update(control.state, {}, true, now + milliseconds(600) * arrival));
  }
  control.Register(proto::ROLE_QUEUE, "last", 1);
  EXPECT_TRUE(gate.Update(control.state, {}, true, now + seconds(2)));
}

TEST_F(RecoveryTest, LeftoversAreThoseOfTheDeadThatNobodyNeeds) {
  const NodeId over = control.Register(proto::ROLE_QUEUE, "over", 1);
  control.DeclareDead(over);
  control.DeclareDead(dead);  // Its recovery needs them.
  proto::ListSegmentsResponse replicas;
  for (const NodeId owner : {over, dead, first, NodeId(9999)}) {
    replicas.add_replicas()->set_node_id(owner.value());
  }
  EXPECT_THAT(FindLeftoverOwners(replicas, control.state), ElementsAre(over));
}

TEST_F(RecoveryTest, BackupCountsAsEmptiedOnlyALeaseAfterTheOrder) {
  BackupSweeper sweeper(seconds(5), seconds(1), seconds(3));
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("s1");
  control.Apply(retire);
  for (int elapsed = 0; elapsed <= 3; ++elapsed) {
    EXPECT_EQ(sweeper.FindReplicaCount(backup), std::nullopt) << elapsed;
    EXPECT_THAT(sweeper.StartDueSweeps(control.state, TimePoint(seconds(100 + elapsed))),
                testing::Contains(backup));
    sweeper.HandleReplicaList(backup, proto::ListSegmentsResponse());
    sweeper.HandleFailure(spare);
  }
  EXPECT_EQ(sweeper.FindReplicaCount(backup), 0U);
}

TEST_F(RecoveryTest, DoubtfulAndRetiringNodesGetPartitionsOnlyIfThereIsNoOther) {
  const std::vector<PartitionId> two{PartitionId(0), PartitionId(1)};
  const NodeId silent = dead;
  EXPECT_FALSE(PlacePartitions(two, control.state, {silent}).contains(silent));
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("q1");
  control.Apply(retire);
  EXPECT_THAT(FindEligibleQueueNodes(control.state, {silent}), ElementsAre(second));
  EXPECT_THAT(FindEligibleQueueNodes(control.state, {silent, second}), ElementsAre(first));
}

}  // namespace
}  // namespace cloverbank

#include "leader/recovery_manager.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"
#include "stored_segment.h"

namespace cloverbank {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;

/// Executes the actions of a RecoveryManager against simulated backups and queue nodes that answer
/// at once, and applies its proposals at once.
class RecoveryManagerTest : public testing::Test {
 protected:
  RecoveryManagerTest() {
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
    *disks[at][owner].add_segments() = MakeStoredSegment(1, 10, 1, false, {1});
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
    if (!stalled.contains(node)) {
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
      input.now += milliseconds(600);
      for (const RecoveryAction& action : manager.Step(control.state, input)) {
        std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
      }
    }
  }
  bool IsRecoveryFinished() const { return control.state.partitions().recoveries().empty(); }
  std::size_t CountOwned(NodeId node) const {
    return control.state.partitions().FindOwnedBy(node).size();
  }

  ControlDriver control;
  RecoveryManager manager{RecoveryOptions{}};
  RecoveryInput input;
  NodeId dead, first, second, backup, spare;
  /// Segments that each backup stores, by backup and owner.
  std::map<NodeId, std::map<NodeId, proto::StartReadingDataResponse>> disks;
  std::set<NodeId> unreachable;  ///< Backups to which calls fail.
  std::set<NodeId> stalled;      ///< Queue nodes that do not finish replays.
  std::vector<proto::RecoverPartitionsRequest> replays;  ///< In the order sent.
};

TEST_F(RecoveryManagerTest, SpreadsReplaysOverNodesAndReleasesLog) {
  control.DeclareDead(dead);
  Step(6);
  EXPECT_TRUE(IsRecoveryFinished());
  EXPECT_EQ(CountOwned(first), 2U);
  EXPECT_EQ(CountOwned(second), 2U);
  EXPECT_THAT(disks[backup], IsEmpty());
}

TEST_F(RecoveryManagerTest, DescribesMissingHeadUntilItsBackupReturns) {
  unreachable.insert(backup);
  control.DeclareDead(dead);
  Step(20);
  EXPECT_THAT(replays, IsEmpty());
  EXPECT_THAT(
      manager.DescribePendingWork(control.state, dead),
      AllOf(HasSubstr("head segment 1"), HasSubstr("the backup on s1"), HasSubstr("no route")));
  // The backup restarts: it registers with another node id and the same disk.
  const NodeId restarted = control.Register(proto::ROLE_BACKUP, "s1", 40);
  Store(restarted, dead);
  Step(6);
  EXPECT_TRUE(IsRecoveryFinished());
}

TEST_F(RecoveryManagerTest, ReassignsReplayOfDeadNode) {
  stalled = {first, second};
  control.DeclareDead(dead);
  Step(3);
  control.CommitHead(first, 1, 1, {backup});
  Store(backup, first);
  control.DeclareDead(first);
  stalled.clear();
  Step(8);
  EXPECT_TRUE(IsRecoveryFinished());
  EXPECT_EQ(CountOwned(second), 4U);
}

TEST_F(RecoveryManagerTest, ContinuesOnceAQueueNodeRegisters) {
  control.DeclareDead(dead);
  control.DeclareDead(first);
  control.DeclareDead(second);
  Step(5);
  EXPECT_THAT(manager.DescribePendingWork(control.state, dead), HasSubstr("a queue node"));
  const NodeId third = control.Register(proto::ROLE_QUEUE, "q3", 9);
  Step(5);
  EXPECT_EQ(CountOwned(third), 4U);
}

TEST_F(RecoveryManagerTest, ReleaseWaitsForEveryLiveBackup) {
  unreachable.insert(spare);
  control.DeclareDead(dead);
  Step(8);
  EXPECT_EQ(control.state.partitions().recoveries().at(dead).phase(),
            proto::RECOVERY_PHASE_RELEASING);
  EXPECT_THAT(manager.DescribePendingWork(control.state, dead), HasSubstr("the backup on s2"));
  control.DeclareDead(spare);
  Step(2);
  EXPECT_TRUE(IsRecoveryFinished());
}

// A new leader knows only the replicated state. The leader changes before the step with the number
// of the parameter, so that the change falls into each phase of the recovery.
class LeaderChangeTest : public RecoveryManagerTest, public testing::WithParamInterface<int> {};

TEST_P(LeaderChangeTest, RecoveryContinues) {
  stalled = {first, second};
  control.DeclareDead(dead);
  for (int step = 0; step < 10; ++step) {
    if (step == GetParam()) {
      manager.Reset();
    }
    if (step == 3) {
      stalled.clear();
    }
    Step();
  }
  EXPECT_TRUE(IsRecoveryFinished());
  EXPECT_EQ(CountOwned(first) + CountOwned(second), 4U);
}

INSTANTIATE_TEST_SUITE_P(AtAnyStep, LeaderChangeTest, testing::Range(0, 7));

// A node that replays a log dies too. By then it owns one of the dead node's partitions, so its own
// log must be recovered as well.
TEST_F(RecoveryManagerTest, RecoversNodeThatDiesDuringReplay) {
  control.CommitHead(first, 1, 1, {spare});
  Store(spare, first);
  stalled = {first, second};
  control.DeclareDead(dead);
  Step(2);
  control.FinishAssignment(dead, first, {0});
  control.DeclareDead(first);
  EXPECT_EQ(control.state.partitions().recoveries().size(), 2U);
  stalled.clear();
  Step(8);
  EXPECT_TRUE(IsRecoveryFinished());
  EXPECT_EQ(CountOwned(second), 4U);
}

// Each of four dead nodes had one partition. When the second and later ones are placed, the state
// does not show the placement of the earlier ones yet; it must be counted all the same.
TEST_F(RecoveryManagerTest, SimultaneousReplaysGoToDifferentNodes) {
  ControlDriver fleet;
  std::vector<NodeId> owners;
  const NodeId log_backup = fleet.Register(proto::ROLE_BACKUP, "s1", 1);
  for (const char* machine : {"d1", "d2", "d3", "d4"}) {
    owners.push_back(fleet.Register(proto::ROLE_QUEUE, machine, 1));
    fleet.Assign(owners.back(), {owners.size() - 1});
    fleet.CommitHead(owners.back(), 1, 1, {log_backup});
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
    *answer.add_segments() = MakeStoredSegment(1, 10, 1, true, {1});
    recoveries.HandleReadingData(owner, log_backup, answer);
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

}  // namespace
}  // namespace cloverbank

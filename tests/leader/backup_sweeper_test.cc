#include "leader/backup_sweeper.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

using ::testing::ElementsAre;

/// Two backups and two queue nodes. The log of queue node `dead` is on the first backup.
class BackupSweeperTest : public testing::Test {
 protected:
  BackupSweeperTest() {
    dead = control.Register(proto::ROLE_QUEUE, "dead", 1);
    first = control.Register(proto::ROLE_QUEUE, "q1", 2);
    backup = control.Register(proto::ROLE_BACKUP, "s1", 4);
    spare = control.Register(proto::ROLE_BACKUP, "s2", 5);
    control.Assign(dead, {0, 1, 2, 3});
    control.CommitHead(dead, 1, 1, {backup});
  }

  ControlDriver control;
  NodeId dead, first, backup, spare;
};

TEST_F(BackupSweeperTest, FindsOnlySegmentsOfRecoveredNodes) {
  const NodeId recovered = control.Register(proto::ROLE_QUEUE, "recovered", 1);
  control.DeclareDead(recovered);
  control.DeclareDead(dead);  // Its recovery still needs its segments.
  proto::ListSegmentsResponse replicas;
  for (const NodeId owner : {recovered, dead, first, NodeId(9999)}) {
    replicas.add_replicas()->set_node_id(owner.value());
  }
  EXPECT_THAT(FindLeftoverOwners(replicas, control.state), ElementsAre(recovered));
}

TEST_F(BackupSweeperTest, CountsReplicasOfRetiringBackupAfterSettlingTime) {
  BackupSweeper sweeper(seconds(5), seconds(1), seconds(3));
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("s1");
  control.Apply(retire);
  for (int elapsed = 0; elapsed <= 3; ++elapsed) {
    EXPECT_EQ(sweeper.FindReplicaCount(backup), std::nullopt)
        << elapsed << " s after the retirement";
    EXPECT_THAT(sweeper.StartDueSweeps(control.state, TimePoint(seconds(100 + elapsed))),
                testing::Contains(backup));
    sweeper.HandleReplicaList(backup, proto::ListSegmentsResponse());
    sweeper.HandleFailure(spare);
  }
  EXPECT_EQ(sweeper.FindReplicaCount(backup), 0U);
}

TEST_F(BackupSweeperTest, ACountFromBeforeTheRetirementDoesNotCount) {
  BackupSweeper sweeper(seconds(5), seconds(1), seconds(3));
  EXPECT_THAT(sweeper.StartDueSweeps(control.state, TimePoint(seconds(100))),
              testing::Contains(backup));
  sweeper.HandleReplicaList(backup, proto::ListSegmentsResponse());  // Still empty.
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("s1");
  control.Apply(retire);
  (void)sweeper.StartDueSweeps(control.state, TimePoint(seconds(101)));
  EXPECT_EQ(sweeper.FindReplicaCount(backup), std::nullopt);
}

TEST_F(BackupSweeperTest, ASweepThatBeganBeforeTheRetirementDoesNotCount) {
  BackupSweeper sweeper(seconds(5), seconds(1), seconds(3));
  (void)sweeper.StartDueSweeps(control.state, TimePoint(seconds(100)));
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("s1");
  control.Apply(retire);
  sweeper.HandleReplicaList(backup, proto::ListSegmentsResponse());
  (void)sweeper.StartDueSweeps(control.state, TimePoint(seconds(101)));
  EXPECT_EQ(sweeper.FindReplicaCount(backup), std::nullopt);
}

// Guards against an answer from before the question: the retirement is asked for before the next
// sweep is scheduled (review/1).
TEST_F(BackupSweeperTest, ARetirementThatIsNotSeenYetHasNoCount) {
  BackupSweeper sweeper(seconds(5), seconds(1), seconds(3));
  (void)sweeper.StartDueSweeps(control.state, TimePoint(seconds(100)));
  sweeper.HandleReplicaList(backup, proto::ListSegmentsResponse());  // Still empty.
  EXPECT_EQ(sweeper.FindReplicaCount(backup), 0U);
  EXPECT_EQ(sweeper.FindReplicaCountOfRetiring(backup), std::nullopt);
}

// Guards against the retirement waiting for the end of a long interval between sweeps.
TEST_F(BackupSweeperTest, ARetiringBackupIsListedAtOnce) {
  BackupSweeper sweeper(seconds(5), seconds(1), seconds(3));
  (void)sweeper.StartDueSweeps(control.state, TimePoint(seconds(100)));
  sweeper.HandleReplicaList(backup, proto::ListSegmentsResponse());
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("s1");
  control.Apply(retire);
  EXPECT_THAT(sweeper.StartDueSweeps(control.state, TimePoint(seconds(101))),
              testing::Contains(backup));
}

}  // namespace
}  // namespace cloverbank

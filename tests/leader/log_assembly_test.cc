#include "leader/log_assembly.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_state/control_commands.h"
#include "stored_segment.h"

namespace cloverbank {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

/// A dead queue node with the log {2, 3}. Its committed head is segment 3 with epoch 2 on the
/// backups s1, s2 and s3; segment 2, the head before, was committed with epoch 5 on the same
/// backups.
class LogAssemblyTest : public testing::Test {
 protected:
  LogAssemblyTest() {
    node = control.Register(proto::ROLE_QUEUE, "dead", 1);
    for (const char* machine : {"s1", "s2", "s3", "s4"}) {
      backups.push_back(control.Register(proto::ROLE_BACKUP, machine, 2));
    }
    control.CommitHead(node, 2, 5, {backups[0], backups[1], backups[2]});
    control.CommitHead(node, 3, 2, {backups[0], backups[1], backups[2]});
  }
  void AddReplica(std::size_t backup, const proto::StoredSegment& stored) {
    *stored_segments[backups[backup]].add_segments() = stored;
  }
  AssembledLog Assemble() {
    return AssembleLog(control.state.partitions().heads().at(node), stored_segments,
                       control.state.servers());
  }

  ControlDriver control;
  NodeId node;
  std::vector<NodeId> backups;
  StoredSegments stored_segments;
};

TEST_F(LogAssemblyTest, DescribesMissingHeadWithItsBackups) {
  AddReplica(0, MakeStoredSegment(2, 10, 5, true, {2}));
  // An earlier epoch than the committed one.
  AddReplica(1, MakeStoredSegment(3, 99, 1, false, {2, 3}));
  // Not among the backups committed with the head.
  AddReplica(3, MakeStoredSegment(3, 99, 2, false, {2, 3}));
  const AssembledLog log = Assemble();
  EXPECT_THAT(log.missing, ElementsAre(HasSubstr("head segment 3 of epoch 2, stored on s1")));
}

TEST_F(LogAssemblyTest, UsesLongestHeadReplicasAndClosedReplicas) {
  AddReplica(0, MakeStoredSegment(3, 40, 2, false, {2, 3}));
  AddReplica(1, MakeStoredSegment(3, 50, 2, false, {2, 3}));
  AddReplica(2, MakeStoredSegment(3, 99, 1, false, {2, 3}));
  // A later epoch that was not committed contains everything.
  AddReplica(3, MakeStoredSegment(3, 50, 3, false, {2, 3}));
  AddReplica(2, MakeStoredSegment(2, 10, 5, true, {2}));
  AddReplica(3, MakeStoredSegment(2, 70, 4, false, {2}));
  const AssembledLog log = Assemble();
  ASSERT_TRUE(log.complete());
  ASSERT_EQ(log.segments.size(), 2U);
  EXPECT_EQ(log.segments[0].segment, SegmentId(2));
  EXPECT_THAT(log.segments[0].backups, ElementsAre(backups[2]));
  EXPECT_THAT(log.segments[1].backups, ElementsAre(backups[1], backups[3]));
}

TEST_F(LogAssemblyTest, ReportsMissingSegmentsOfDigest) {
  AddReplica(0, MakeStoredSegment(3, 40, 2, false, {1, 2, 3}));
  // Neither closed nor the segment before the head.
  AddReplica(1, MakeStoredSegment(1, 10, 1, false, {1}));
  // Not on a backup committed with segment 2.
  AddReplica(3, MakeStoredSegment(2, 10, 5, false, {2}));
  EXPECT_THAT(Assemble().missing, ElementsAre(HasSubstr("segment 1"), HasSubstr("segment 2")));
}

TEST_F(LogAssemblyTest, UsesUnclosedReplicaOfSegmentBeforeHead) {
  AddReplica(0, MakeStoredSegment(3, 40, 2, false, {2, 3}));
  AddReplica(1, MakeStoredSegment(2, 10, 5, false, {2}));
  AddReplica(2, MakeStoredSegment(2, 12, 4, false, {2}));
  const AssembledLog log = Assemble();
  ASSERT_TRUE(log.complete());
  EXPECT_THAT(log.segments[0].backups, ElementsAre(backups[1]));
}

TEST_F(LogAssemblyTest, RecognisesRestartedBackupByDiskId) {
  const NodeId restarted = control.Register(proto::ROLE_BACKUP, "s1", 77);
  *stored_segments[restarted].add_segments() = MakeStoredSegment(3, 40, 2, false, {3});
  EXPECT_TRUE(Assemble().complete());
}

}  // namespace
}  // namespace cloverbank

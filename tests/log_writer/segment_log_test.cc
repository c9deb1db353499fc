#include "log_writer/segment_log_fixture.h"

namespace cloverbank {
namespace {

TEST_F(SegmentLogTest, AcknowledgesOnceEveryBackupSynced) {
  StartQueue();
  EXPECT_EQ(Head().backups_size(), 3);
  for (int i = 0; i < 20; ++i) {
    Append();
  }
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 20; }));
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, AcknowledgedEntrySurvivesTwoLostDisks) {
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  log_world.world.machine("b1").LoseDisk();
  log_world.world.machine("b3").LoseDisk();
  log_world.world.machine("q").Kill();
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, RollOverKeepsEntriesInOrder) {
  StartQueue();
  for (int i = 0; i < 300; ++i) {
    Append();
  }
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 300; }));
  EXPECT_GE(Head().segment_id(), 5U);
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, AcknowledgesOnlyAfterHeadCommit) {
  StartQueue();
  log_world.coordinator.answers_commits = false;
  log_world.world.machine("b2").Kill();
  Append();
  log_world.world.RunFor(seconds(2));
  EXPECT_TRUE(outcomes.empty());
  log_world.coordinator.answers_commits = true;
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes[1], StatusCode::kOk);
  EXPECT_GE(Head().epoch(), 2U);
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, ReplacesLostBackupBeforeAcknowledging) {
  log_world.AddBackup("b4", "zone-b4");
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  std::string lost;
  for (const std::string& backup : log_world.backups) {
    const std::uint64_t location = log_world.coordinator.NodeOf(backup, proto::ROLE_BACKUP);
    lost = location == Head().backups(0) ? backup : lost;
  }
  log_world.world.machine(lost).LosePower();
  ASSERT_TRUE(AppendAndWait());
  EXPECT_EQ(Head().backups_size(), 3);
  EXPECT_EQ(Head().epoch(), 2U);
  log_world.world.machine("q").Kill();
  log_world.world.machine(lost).Start();  // Its replica is stale.
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, ContinuesDegradedUntilBackupReturns) {
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  log_world.world.machine("b2").LoseDisk();
  ASSERT_TRUE(AppendAndWait());
  EXPECT_TRUE(process->log->degraded());
  EXPECT_EQ(Head().backups_size(), 2);
  log_world.world.machine("b2").Start();
  ASSERT_TRUE(WaitFor([this] { return !process->log->degraded(); }));
  EXPECT_EQ(Head().backups_size(), 3);
  log_world.world.machine("b1").LoseDisk();
  log_world.world.machine("b3").LoseDisk();
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, RefusesAppendsBelowMinimumReplicas) {
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  log_world.world.machine("b1").Kill();
  log_world.world.machine("b2").Kill();
  const std::uint64_t pending = Append();
  log_world.world.RunFor(seconds(5));
  EXPECT_FALSE(outcomes.contains(pending));
  const std::uint64_t refused = Append();
  log_world.world.RunFor(seconds(1));
  EXPECT_EQ(outcomes[refused], StatusCode::kUnavailable);
  log_world.world.machine("b1").Start();
  ASSERT_TRUE(WaitFor([&] { return outcomes.contains(pending); }));
  EXPECT_EQ(outcomes[pending], StatusCode::kOk);
  ASSERT_TRUE(AppendAndWait());
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, AppendDuringShortIsolationSucceeds) {
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  log_world.world.Isolate("q");
  const std::uint64_t pending = Append();
  log_world.world.RunFor(milliseconds(2000));
  EXPECT_FALSE(outcomes.contains(pending));
  log_world.world.HealAll();
  ASSERT_TRUE(WaitFor([&] { return outcomes.contains(pending); }));
  EXPECT_EQ(outcomes[pending], StatusCode::kOk);
  ASSERT_TRUE(WaitFor([this] { return !process->log->degraded(); }));
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, FencedNodeAcknowledgesNothing) {
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  log_world.world.machine("q").Freeze();
  log_world.coordinator.DeclareDead(node);
  ASSERT_TRUE(log_world.Collect(node).ok());
  log_world.world.machine("q").Wake();
  const std::uint64_t late = Append();
  ASSERT_TRUE(WaitFor([&] { return outcomes.contains(late); }));
  EXPECT_NE(outcomes[late], StatusCode::kOk);
  EXPECT_EQ(fenced_count, 1);
}

TEST_F(SegmentLogTest, AcknowledgesNothingWithoutLease) {
  StartQueue();
  ASSERT_TRUE(AppendAndWait());
  log_world.world.Cut("q", "control");
  log_world.world.RunFor(seconds(4));
  ASSERT_FALSE(process->agent->HasValidLease());
  const std::uint64_t late = Append();
  log_world.world.RunFor(seconds(2));
  EXPECT_FALSE(outcomes.contains(late));
  log_world.world.HealAll();
  ASSERT_TRUE(WaitFor([&] { return outcomes.contains(late); }));
}

TEST_F(SegmentLogTest, RepairsClosedSegmentsOfLostBackup) {
  log_world.AddBackup("b4", "zone-b4");
  StartQueue();
  for (int i = 0; i < 200; ++i) {
    Append();
  }
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 200; }));
  log_world.coordinator.DeclareDead(log_world.coordinator.NodeOf("b2", proto::ROLE_BACKUP));
  log_world.world.machine("b2").LoseDisk();
  ASSERT_TRUE(WaitFor([this] { return process->log->degraded(); }));
  ASSERT_TRUE(WaitFor([this] { return !process->log->degraded(); }));
  log_world.world.machine("b1").LoseDisk();
  log_world.world.machine("b3").LoseDisk();
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, ReplacesDamagedReplica) {
  StartQueue();
  for (int i = 0; i < 200; ++i) {
    Append();
  }
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 200; }));
  const auto files = log_world.world.machine("b1").disk().List("segments");
  ASSERT_TRUE(files.ok());
  ASSERT_GT(files->size(), 2U) << "the first two are closed";
  constexpr std::uint64_t kDamagedByte = kSegmentDataOffset + 100;
  for (std::size_t index = 0; index < 2; ++index) {
    const std::string file = "segments/" + (*files)[index];
    ASSERT_TRUE(log_world.world.machine("b1").FlipBit(file, kDamagedByte).ok());
  }
  // While b3 is down, only the damaged replicas on b1 can be read.
  log_world.coordinator.DeclareDead(log_world.coordinator.NodeOf("b2", proto::ROLE_BACKUP));
  log_world.world.machine("b2").LoseDisk();
  log_world.world.machine("b3").Kill();
  log_world.AddBackup("b4", "zone-b4");
  log_world.world.RunFor(seconds(5));
  log_world.world.machine("b3").Start();
  ASSERT_TRUE(WaitFor([this] { return !process->log->degraded(); }));
  log_world.world.machine("b3").LoseDisk();
  log_world.world.machine("b4").LoseDisk();
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, SpareHasReplicaOnlyWhileBackupIsMissing) {
  log_world.AddBackup("spare", "zone-b1", true);
  StartQueue();
  const auto spare = log_world.coordinator.NodeOf("spare", proto::ROLE_BACKUP);
  const auto replicas_on_spare = [&] {
    const auto head = Head();
    return std::count(head.backups().begin(), head.backups().end(), spare);
  };
  EXPECT_EQ(replicas_on_spare(), 0);
  log_world.world.machine("b2").Kill();
  ASSERT_TRUE(AppendAndWait());
  EXPECT_EQ(replicas_on_spare(), 1);
  log_world.world.machine("b2").Start();
  ASSERT_TRUE(WaitFor([&] { return replicas_on_spare() == 0; }));
  ASSERT_TRUE(WaitFor([&] {
    const auto listed = log_world.Call<proto::ListSegmentsResponse>("spare", "backup.ListSegments",
                                                                    proto::ListSegmentsRequest());
    return listed.ok() && listed->replicas_size() == 0;
  }));
  EXPECT_FALSE(process->log->degraded());
  ExpectAcknowledgedRecoverable();
}

TEST_F(SegmentLogTest, FreesSegmentsOfRemovedBatches) {
  StartQueue();
  for (int i = 0; i < 200; ++i) {
    Append(300, "old");
  }
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 200; }));
  const std::size_t before = process->log->live_segments();
  proto::LogEntry removed;
  removed.set_partition_tag(kPartition + 1);
  removed.set_sequence(++last_sequence);
  removed.mutable_batch_removed()->set_batch_id("old");
  process->log->Append({removed}, [](const Status&) {});
  outcomes.clear();
  for (int i = 0; i < 120; ++i) {
    Append(300, "new");
  }
  ASSERT_TRUE(WaitFor([this] { return outcomes.size() == 120; }));
  EXPECT_LT(process->log->live_segments(), before);
  log_world.world.RunFor(seconds(2));
  const auto listed = log_world.Call<proto::ListSegmentsResponse>("b1", "backup.ListSegments",
                                                                  proto::ListSegmentsRequest());
  EXPECT_LE(static_cast<std::size_t>(listed->replicas_size()), process->log->live_segments() + 1);
  ExpectAcknowledgedRecoverable();
}

/// Injects random faults at random times; every acknowledged entry must be recoverable at the end.
class SegmentLogFaultTest : public SegmentLogTest, public testing::WithParamInterface<int> {
 protected:
  SegmentLogFaultTest() : SegmentLogTest(static_cast<std::uint64_t>(GetParam())) {}

  /// Stops, freezes or isolates one random backup for a random time.
  void InjectFault() {
    const std::string name =
        log_world.backups[log_world.world.RandomBelow(log_world.backups.size())];
    SimulatedMachine& machine = log_world.world.machine(name);
    if (!machine.running()) {
      return;
    }
    const Duration outage = milliseconds(log_world.world.RandomBelow(3000));
    switch (log_world.world.RandomBelow(4)) {
      case 0:
        machine.Kill();
        break;
      case 1:
        machine.LosePower();
        break;
      case 2:
        machine.Freeze();
        log_world.world.ScheduleAfter(outage, [&machine] { machine.Wake(); });
        return;
      default:
        log_world.world.Isolate(name);
        log_world.world.ScheduleAfter(outage, [this, name] { log_world.world.Heal(name); });
        return;
    }
    log_world.world.ScheduleAfter(outage, [&machine] {
      if (!machine.running()) {
        machine.Start();
      }
    });
  }
};

TEST_P(SegmentLogFaultTest, AcknowledgedEntriesSurvive) {
  log_world.world.network().request_loss = 0.01;
  log_world.world.network().reply_loss = 0.01;
  log_world.world.network().request_duplication = 0.02;
  log_world.AddBackup("b4", "zone-b1");
  StartQueue();
  for (int round = 0; round < 12; ++round) {
    InjectFault();
    for (int i = 0; i < 40; ++i) {
      Append(100 + log_world.world.RandomBelow(900));
      log_world.world.RunFor(milliseconds(log_world.world.RandomBelow(60)));
    }
    log_world.world.RunFor(milliseconds(log_world.world.RandomBelow(4000)));
  }
  log_world.world.machine("q").Kill();
  log_world.world.RunFor(seconds(4));
  log_world.world.machine(log_world.backups[log_world.world.RandomBelow(4)]).LoseDisk();
  const auto acknowledged =
      std::count_if(outcomes.begin(), outcomes.end(),
                    [](const auto& outcome) { return outcome.second == StatusCode::kOk; });
  EXPECT_GT(acknowledged, 200);
  log_world.world.network() = NetworkBehaviour();
  EXPECT_EQ(fenced_count, 0);
  ExpectAcknowledgedRecoverable();
}

INSTANTIATE_TEST_SUITE_P(Seeds, SegmentLogFaultTest, testing::Range(1, 21));

}  // namespace
}  // namespace cloverbank

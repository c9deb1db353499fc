#include "backup/backup_service.h"

#include <gtest/gtest.h>

#include "backup/backup_world.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kSegment = 3;
constexpr const char* kFile = "segments/9-3";
constexpr std::uint64_t kDataOffset = 8192;

/// A backup with an open segment. `content` is its segment header, its log digest, and one entry
/// each of partitions 0 and 1.
struct BackupWithSegment : BackupWorld {
  BackupWithSegment() {
    content = SegmentStart(node, kSegment, {2, kSegment}) + Framed(kSegment, NumberedEntry(0, 1)) +
              Framed(kSegment, NumberedEntry(1, 2));
    EXPECT_EQ(Open(kSegment), StatusCode::kOk);
    EXPECT_EQ(Write(kSegment, 0, content), StatusCode::kOk);
  }
  std::string content;
};

class BackupServiceTest : public testing::Test {
 protected:
  BackupWithSegment backup;
};

class EmptyBackupServiceTest : public testing::Test {
 protected:
  BackupWorld backup;
};

TEST_F(BackupServiceTest, RecoveryFindsWrittenEntries) {
  const auto offers = backup.Offers();
  ASSERT_EQ(offers.size(), 1U);
  const proto::StoredSegment& stored = offers.at(kSegment);
  EXPECT_EQ(stored.length(), backup.content.size());
  EXPECT_EQ(stored.epoch(), 1U);
  EXPECT_FALSE(stored.closed());
  ASSERT_EQ(stored.digest_size(), 2);
  EXPECT_EQ(stored.digest(0), 2U);

  const auto entries = backup.RecoveryData(kSegment, {1});
  ASSERT_TRUE(entries.ok());
  ASSERT_EQ(entries->entries_size(), 1);
  EXPECT_EQ(entries->entries(0).sequence(), 2U);
}

TEST_F(BackupServiceTest, AcknowledgedDataSurvivesPowerLoss) {
  ASSERT_EQ(backup.SetEpoch(kSegment, 4), StatusCode::kOk);
  backup.RestartAfterPowerLoss();
  const auto read = backup.Read(kSegment);
  ASSERT_TRUE(read.ok()) << read.status().ToString();
  EXPECT_EQ(read->data(), backup.content);
  EXPECT_EQ(read->epoch(), 4U);
  const std::string next_entry = Framed(kSegment, NumberedEntry(0, 3));
  EXPECT_EQ(backup.Write(kSegment, backup.content.size(), next_entry, 4), StatusCode::kOk);
}

TEST_F(EmptyBackupServiceTest, DiskIdChangesOnlyWithTheDisk) {
  const std::string disk_id = backup.service.lock()->disk_id();
  backup.world.RunFor(seconds(1));
  backup.RestartAfterPowerLoss();
  EXPECT_EQ(backup.service.lock()->disk_id(), disk_id);
  backup.machine.LoseDisk();
  backup.machine.Start();
  EXPECT_NE(backup.service.lock()->disk_id(), disk_id);
}

TEST_F(BackupServiceTest, FencedNodeIsRefusedBeforeAndAfterRestart) {
  const auto offers = backup.Offers();
  const std::string late_entry = Framed(kSegment, NumberedEntry(0, 3));
  for (const bool after_restart : {false, true}) {
    if (after_restart) {
      backup.RestartAfterPowerLoss();
    }
    EXPECT_EQ(backup.Write(kSegment, backup.content.size(), late_entry), StatusCode::kFenced);
    EXPECT_EQ(backup.SetEpoch(kSegment, 2), StatusCode::kFenced);
    EXPECT_EQ(backup.Close(kSegment, backup.content.size()), StatusCode::kFenced);
    EXPECT_EQ(backup.Free(kSegment), StatusCode::kFenced);
    EXPECT_EQ(backup.Open(kSegment + 1), StatusCode::kFenced);
    EXPECT_EQ(backup.Offers().at(kSegment).length(), offers.at(kSegment).length());
  }
}

TEST_F(EmptyBackupServiceTest, FencesNodeWithoutReplicas) {
  ASSERT_TRUE(backup.Offers().empty());
  backup.RestartAfterPowerLoss();
  EXPECT_EQ(backup.Open(kSegment), StatusCode::kFenced);
}

TEST_F(BackupServiceTest, ReleaseRemovesSegmentsAndKeepsFence) {
  ASSERT_EQ(backup.Offers().size(), 1U);
  ASSERT_EQ(backup.Release(), StatusCode::kOk);
  EXPECT_EQ(backup.Release(), StatusCode::kOk);
  backup.RestartAfterPowerLoss();
  EXPECT_TRUE(backup.Offers().empty());
  EXPECT_EQ(backup.List()->replicas_size(), 0);
  EXPECT_EQ(backup.Open(kSegment), StatusCode::kFenced);
}

TEST(BackupFenceRaceTest, ConcurrentWriteIsOfferedOrRefused) {
  int offered = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    BackupWorld backup(seed);
    const std::string content = SegmentStart(backup.node, kSegment, {kSegment});
    ASSERT_EQ(backup.Open(kSegment), StatusCode::kOk);
    ASSERT_EQ(backup.Write(kSegment, 0, content), StatusCode::kOk);
    const std::string late_entry = Framed(kSegment, NumberedEntry(0, 1));
    const auto write = backup.Send<proto::WriteSegmentResponse>(
        "backup.WriteSegment", WriteRequest(backup.node, kSegment, content.size(), late_entry, 1));
    const std::uint64_t length = backup.Offers().at(kSegment).length();
    ASSERT_TRUE(backup.world.RunUntil([&] { return write->has_value(); }, seconds(10)));
    const bool acknowledged = (*write)->ok();
    EXPECT_EQ(length, content.size() + (acknowledged ? late_entry.size() : 0)) << "seed " << seed;
    ++(acknowledged ? offered : refused);
  }
  EXPECT_GT(offered, 0);
  EXPECT_GT(refused, 0);
}

TEST_F(BackupServiceTest, TornTailIsTruncatedAtFirstBadEntry) {
  const std::string tail = Framed(kSegment, NumberedEntry(0, 3));
  backup.machine.Kill();
  backup.machine.disk().WriteAt(kFile, kDataOffset + backup.content.size(),
                                tail.substr(0, tail.size() - 1), [](const Status&) {});
  backup.machine.Start();
  EXPECT_EQ(backup.Read(kSegment)->data(), backup.content);
  // The owner got no reply, so it sends the entry again.
  EXPECT_EQ(backup.Write(kSegment, backup.content.size(), tail), StatusCode::kOk);
  EXPECT_EQ(backup.Offers().at(kSegment).length(), backup.content.size() + tail.size());
}

TEST_F(BackupServiceTest, DamagedClosedReplicaIsNotOffered) {
  ASSERT_EQ(backup.Close(kSegment, backup.content.size()), StatusCode::kOk);
  ASSERT_TRUE(backup.machine.FlipBit(kFile, kDataOffset + backup.content.size() - 1).ok());
  backup.Restart();
  EXPECT_TRUE(backup.load_status.ok());
  EXPECT_EQ(backup.Read(kSegment).status().code(), StatusCode::kCorrupt);
  EXPECT_EQ(backup.List()->replicas_size(), 0);
  EXPECT_TRUE(backup.Offers().empty());
  EXPECT_EQ(backup.RecoveryData(kSegment, {0}).status().code(), StatusCode::kNotFound);
}

TEST_F(BackupServiceTest, DamageBelowRecordedLengthMakesReplicaCorrupt) {
  ASSERT_EQ(backup.SetEpoch(kSegment, 2), StatusCode::kOk);
  ASSERT_TRUE(backup.machine.FlipBit(kFile, kDataOffset + backup.content.size() - 1).ok());
  backup.Restart();
  EXPECT_EQ(backup.Write(kSegment, 0, backup.content, 2), StatusCode::kCorrupt);
  EXPECT_TRUE(backup.Offers().empty());
}

TEST_F(BackupServiceTest, RecoveryDataRequiresStartReadingData) {
  EXPECT_EQ(backup.RecoveryData(kSegment, {0}).status().code(), StatusCode::kConflict);
  ASSERT_EQ(backup.Offers().size(), 1U);
  backup.RestartAfterPowerLoss();
  EXPECT_EQ(backup.RecoveryData(kSegment, {0, 1})->entries_size(), 2);
}

TEST_F(BackupServiceTest, RecoveryDataDetectsDamageAfterStartReadingData) {
  ASSERT_EQ(backup.Offers().size(), 1U);
  ASSERT_TRUE(backup.machine.FlipBit(kFile, kDataOffset + backup.content.size() - 1).ok());
  EXPECT_EQ(backup.RecoveryData(kSegment, {0}).status().code(), StatusCode::kCorrupt);
  EXPECT_TRUE(backup.Offers().empty());
}

TEST_F(BackupServiceTest, ScrubbingDetectsDamage) {
  ASSERT_EQ(backup.Close(kSegment, backup.content.size()), StatusCode::kOk);
  ASSERT_TRUE(backup.machine.FlipBit(kFile, kDataOffset + 20).ok());
  backup.world.RunFor(backup.options.scrub_interval * 2);
  EXPECT_EQ(backup.List()->replicas_size(), 0);
  EXPECT_NE(backup.metrics->Render().find(R"(backup_corrupt_replicas_total{found_by="scrub"} 1)"),
            std::string::npos);
  // The owner replaces the damaged replica.
  EXPECT_EQ(backup.Open(kSegment), StatusCode::kOk);
  EXPECT_EQ(backup.Write(kSegment, 0, backup.content, 1, ReplacementPart::kLast), StatusCode::kOk);
  EXPECT_EQ(backup.Offers().at(kSegment).length(), backup.content.size());
}

class DamagedHeaderSlotTest : public BackupServiceTest,
                              public testing::WithParamInterface<std::uint64_t> {};

TEST_P(DamagedHeaderSlotTest, DataSurvivesOneDamagedHeaderSlot) {
  constexpr std::uint64_t kDamagedByte = 33;
  ASSERT_TRUE(backup.machine.FlipBit(kFile, GetParam() + kDamagedByte).ok());
  backup.Restart();
  EXPECT_EQ(backup.Read(kSegment)->data(), backup.content);
}

INSTANTIATE_TEST_SUITE_P(SlotOffsets, DamagedHeaderSlotTest, testing::Values(0U, 4096U));

class DamagedFenceFileTest : public BackupServiceTest,
                             public testing::WithParamInterface<const char*> {};

TEST_P(DamagedFenceFileTest, FenceSurvivesOneDamagedFenceFile) {
  ASSERT_EQ(backup.Offers().size(), 1U);
  ASSERT_TRUE(backup.machine.FlipBit(GetParam(), 5).ok());
  backup.Restart();
  EXPECT_EQ(backup.Open(kSegment + 1), StatusCode::kFenced);
}

INSTANTIATE_TEST_SUITE_P(Files, DamagedFenceFileTest, testing::Values("fenced", "fenced_copy"));

TEST_F(BackupServiceTest, RefusesToServeWithoutReadableFences) {
  ASSERT_EQ(backup.Offers().size(), 1U);
  ASSERT_TRUE(backup.machine.FlipBit("fenced", 5).ok());
  ASSERT_TRUE(backup.machine.FlipBit("fenced_copy", 5).ok());
  backup.Restart();
  EXPECT_EQ(backup.load_status.code(), StatusCode::kCorrupt);
  EXPECT_FALSE(backup.Open(kSegment + 1) == StatusCode::kOk);
}

class ReplacementOfferTest : public EmptyBackupServiceTest,
                             public testing::WithParamInterface<bool> {};

TEST_P(ReplacementOfferTest, OffersReplacementOnlyWhenComplete) {
  const bool complete = GetParam();
  const std::string content = SegmentStart(backup.node, kSegment, {kSegment});
  ASSERT_EQ(backup.Open(kSegment, 2), StatusCode::kOk);
  ASSERT_EQ(backup.Write(kSegment, 0, content.substr(0, 10), 2, ReplacementPart::kPartial),
            StatusCode::kOk);
  ASSERT_EQ(backup.Write(kSegment, 10, content.substr(10), 2,
                         complete ? ReplacementPart::kLast : ReplacementPart::kPartial),
            StatusCode::kOk);
  backup.RestartAfterPowerLoss();
  EXPECT_EQ(backup.Offers().contains(kSegment), complete);
}

INSTANTIATE_TEST_SUITE_P(Complete, ReplacementOfferTest, testing::Bool());

TEST_F(BackupServiceTest, FullDiskRefusesOpensButStillFences) {
  constexpr std::uint64_t kDiskLimitBytes = 128U << 10U;  // The open segment takes 72 KiB.
  backup.machine.SetDiskLimit(kDiskLimitBytes);
  EXPECT_EQ(backup.Open(kSegment + 1), StatusCode::kResourceExhausted);
  EXPECT_EQ(backup.service.lock()->FreeBytes(), 0U);
  // Writes into the reserved space still succeed, and the fence fits into the spare bytes.
  const std::string next_entry = Framed(kSegment, NumberedEntry(0, 3));
  EXPECT_EQ(backup.Write(kSegment, backup.content.size(), next_entry), StatusCode::kOk);
  EXPECT_EQ(backup.Offers().at(kSegment).length(), backup.content.size() + next_entry.size());
}

TEST_F(BackupServiceTest, FailedSyncIsNotAcknowledged) {
  const std::string next_entry = Framed(kSegment, NumberedEntry(0, 3));
  backup.machine.FailSyncs(true);
  EXPECT_EQ(backup.Write(kSegment, backup.content.size(), next_entry), StatusCode::kIoError);
  EXPECT_EQ(backup.StartReading().status().code(), StatusCode::kIoError);
  backup.machine.FailSyncs(false);
  backup.Restart();
  EXPECT_EQ(backup.Offers().at(kSegment).length(), backup.content.size());
}

TEST_F(EmptyBackupServiceTest, UnfinishedOpenIsRemovedAtRestart) {
  backup.machine.disk().Reserve(kFile, 16384, [](const Status&) {});
  backup.Restart();
  backup.world.RunFor(seconds(1));
  EXPECT_TRUE(backup.machine.disk().List("segments")->empty());
  EXPECT_EQ(backup.Open(kSegment), StatusCode::kOk);
}

TEST_F(BackupServiceTest, AnswersOverlappingStartReadingDataCalls) {
  const auto first = backup.Send<proto::StartReadingDataResponse>("backup.StartReadingData",
                                                                  backup.StartReadingRequest());
  const auto second = backup.Send<proto::StartReadingDataResponse>("backup.StartReadingData",
                                                                   backup.StartReadingRequest());
  ASSERT_TRUE(backup.world.RunUntil([&] { return first->has_value() && second->has_value(); },
                                    seconds(10)));
  EXPECT_EQ((**first)->segments_size(), 1);
  EXPECT_EQ((**second)->segments_size(), 1);
}

}  // namespace
}  // namespace cloverbank

/// Opens a backup's data folder that release 335d412 wrote. Checks that the current code reads the
/// content that was written, and that it writes the same bytes.

#include "stored_data/stored_backup.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "batches/batch_store.h"
#include "batches/partition_replay.h"
#include "stored_data/stored_folder.h"

namespace cloverbank::stored_data {
namespace {

constexpr const char* kFolder = CLOVERBANK_SOURCE_FOLDER "/tests/data/335d412/backup";
constexpr const char* kSegments = "segments";
constexpr const char* kDiskIdFile = "disk_id";

class StoredBackupTest : public testing::Test {
 protected:
  /// Restarts the backup with the stored folder as its disk content.
  void StartOnStoredData() {
    backup_.machine.Kill();
    backup_.machine.LoseDisk();
    FillDataFolder(stored_, backup_.machine.disk());
    backup_.machine.Start();
    backup_.node = kOwner;
  }

  const FolderContent stored_ = ReadRealFolder(kFolder);
  BackupWorld backup_;
};

/// @return the batches of the partition after a new owner has recovered them from the backup.
BatchStore Recover(BackupWorld& backup, std::uint64_t partition) {
  PartitionReplay replay;
  for (const std::uint64_t segment : {kClosedSegment, kOpenSegment}) {
    const auto data = backup.RecoveryData(segment, {partition});
    EXPECT_TRUE(data.ok()) << data.status().ToString();
    for (const proto::LogEntry& entry : data->entries()) {
      replay.Add(entry);
    }
  }
  BatchStore store;
  for (const proto::LogEntry& entry : replay.TakeEntries()) {
    EXPECT_TRUE(store.Apply(entry).ok());
  }
  return store;
}

TEST_F(StoredBackupTest, LoadsDiskIdAndFences) {
  StartOnStoredData();
  ASSERT_TRUE(backup_.load_status.ok()) << backup_.load_status.ToString();
  const std::string& disk_id = backup_.service.lock()->disk_id();
  EXPECT_FALSE(disk_id.empty());
  EXPECT_THAT(stored_.at(kDiskIdFile), testing::EndsWith(disk_id));
  backup_.node = kFencedOwner;
  EXPECT_EQ(backup_.Open(kFencedSegment + 1), StatusCode::kFenced);
}

TEST_F(StoredBackupTest, ReadsEverySegmentAsWritten) {
  StartOnStoredData();
  const auto closed = backup_.Read(kClosedSegment);
  ASSERT_TRUE(closed.ok()) << closed.status().ToString();
  EXPECT_TRUE(closed->closed());
  EXPECT_EQ(closed->data(), SegmentBytes(kOwner, kClosedSegment));
  const auto open = backup_.Read(kOpenSegment);
  ASSERT_TRUE(open.ok()) << open.status().ToString();
  EXPECT_FALSE(open->closed());
  EXPECT_EQ(open->epoch(), kOpenEpoch);
  EXPECT_EQ(open->data(), SegmentBytes(kOwner, kOpenSegment));
  const auto list = backup_.List();
  ASSERT_TRUE(list.ok());
  EXPECT_EQ(list->replicas_size(), 3);
}

TEST_F(StoredBackupTest, RecoversBatchesWithTheirResults) {
  StartOnStoredData();
  const auto offers = backup_.Offers();
  ASSERT_EQ(offers.size(), 2U);
  EXPECT_EQ(offers.at(kOpenSegment).digest_size(), 2);

  const BatchStore first = Recover(backup_, 0);
  const StoredBatch* finished = first.Find("0-1");
  ASSERT_NE(finished, nullptr);
  EXPECT_TRUE(finished->AllFinished());
  EXPECT_EQ(finished->succeeded, 1U);
  EXPECT_EQ(finished->failed, 1U);
  EXPECT_EQ(finished->results[0].output, "output");
  EXPECT_EQ(finished->results[1].error, "error");
  EXPECT_EQ(finished->accepted.request_checksum(), 77U);
  EXPECT_EQ(first.Find("0-2"), nullptr);
}

TEST_F(StoredBackupTest, RecoversACancelledBatch) {
  StartOnStoredData();
  ASSERT_EQ(backup_.Offers().size(), 2U);
  const BatchStore second = Recover(backup_, 1);
  const StoredBatch* cancelled = second.FindByKey("studio", "key of 1-1");
  ASSERT_NE(cancelled, nullptr);
  EXPECT_EQ(cancelled->state(), proto::BATCH_STATE_CANCELLED);
  EXPECT_EQ(cancelled->succeeded, 1U);
  EXPECT_EQ(cancelled->cancelled_items, 2U);
  EXPECT_TRUE(cancelled->AllFinished());
}

TEST_F(StoredBackupTest, CurrentCodeWritesTheSameBytes) {
  WriteBackupData(backup_);
  FolderContent written = ReadDataFolder(backup_.machine.disk(), kSegments);
  FolderContent stored = stored_;
  // The disk id is random for each disk.
  EXPECT_EQ(written.erase(kDiskIdFile), 1U);
  EXPECT_EQ(stored.erase(kDiskIdFile), 1U);
  EXPECT_EQ(written, stored);
}

}  // namespace
}  // namespace cloverbank::stored_data

/// Opens a coordinator's data folder that release 335d412 wrote. Checks that the current code reads
/// the content that was written, and that it writes the same bytes.

#include "stored_data/stored_coordinator.h"

#include <gtest/gtest.h>

#include "consensus/raft_storage.h"
#include "simulation/simulated_world.h"
#include "stored_data/stored_folder.h"

namespace cloverbank::stored_data {
namespace {

constexpr const char* kFolder = CLOVERBANK_SOURCE_FOLDER "/tests/data/335d412/coordinator";
constexpr const char* kConsensus = "consensus";

/// Runs a group member's storage on a simulated machine.
class StoredCoordinatorTest : public testing::Test {
 protected:
  StoredCoordinatorTest() {
    machine_.SetProgram([this](Environment&, DataFolder& folder) {
      storage_ = std::make_shared<RaftStorage>(
          folder, [](RaftWriteId) {},
          [](const Status& status) { ADD_FAILURE() << status.ToString(); },
          [](const Status& status) { ADD_FAILURE() << status.ToString(); });
      loaded_ = storage_->Load();
      return storage_;
    });
  }
  void StartOnStoredData() {
    FillDataFolder(stored_, machine_.disk());
    machine_.Start();
    ASSERT_TRUE(loaded_.ok()) << loaded_.status().ToString();
  }

  const FolderContent stored_ = ReadRealFolder(kFolder);
  SimulatedWorld world_{1};
  SimulatedMachine& machine_ = world_.AddMachine("coordinator", "10.0.0.1");
  std::shared_ptr<RaftStorage> storage_;
  Result<RaftDurableState> loaded_ = Status(StatusCode::kInternal, "not loaded yet");
};

TEST_F(StoredCoordinatorTest, LoadsMetadataAndLog) {
  StartOnStoredData();
  EXPECT_EQ(loaded_->metadata.member_id(), kMember);
  EXPECT_EQ(loaded_->metadata.cluster_id(), kClusterId);
  EXPECT_EQ(loaded_->metadata.current_term(), kTerm);
  EXPECT_EQ(loaded_->metadata.voted_for(), 12U);
  EXPECT_EQ(loaded_->base_index, kSnapshotIndex);
  ASSERT_EQ(loaded_->entries.size(), kLastIndex - kSnapshotIndex);
  EXPECT_TRUE(loaded_->entries[0].has_no_op());
  EXPECT_EQ(loaded_->entries.back().index(), kLastIndex);
}

TEST_F(StoredCoordinatorTest, LoadsTheMembershipChange) {
  StartOnStoredData();
  const proto::RaftEntry& entry = loaded_->entries[1];
  ASSERT_TRUE(entry.has_configuration());
  EXPECT_EQ(entry.configuration().SerializeAsString(), ChangedGroup().SerializeAsString());
  EXPECT_EQ(entry.configuration().members(3).replaces(), kReplacedMember);
}

TEST_F(StoredCoordinatorTest, RestoresTheSnapshotAndAppliesTheLog) {
  StartOnStoredData();
  ASSERT_NE(loaded_->snapshot, nullptr);
  ControlState state(kPartitions);
  ASSERT_TRUE(state.RestoreSnapshot(loaded_->snapshot->state()).ok());
  EXPECT_EQ(state.partitions().partition_count(), kPartitions);
  EXPECT_EQ(state.partitions().partitions().at(PartitionId(1)).owner(), 1U);
  for (const proto::RaftEntry& entry : loaded_->entries) {
    if (!entry.command().empty()) {
      state.Apply(entry.index(), entry.command());
    }
  }
  EXPECT_EQ(state.partitions().partitions().at(PartitionId(1)).recovering_from(), 1U);
  EXPECT_EQ(state.TakeSnapshot(), [] {
    ControlState replayed(kPartitions);
    const std::vector<std::string> commands = Commands();
    for (std::uint64_t index = 1; index <= commands.size(); ++index) {
      if (!commands[index - 1].empty()) {
        replayed.Apply(index, commands[index - 1]);
      }
    }
    return replayed.TakeSnapshot();
  }());
}

TEST_F(StoredCoordinatorTest, CurrentCodeWritesTheSameBytes) {
  machine_.Start();
  storage_->Start();
  for (RaftWrite& write : CoordinatorWrites()) {
    storage_->Write(std::move(write));
    world_.RunFor(seconds(1));
  }
  EXPECT_EQ(ReadDataFolder(machine_.disk(), kConsensus), stored_);
}

}  // namespace
}  // namespace cloverbank::stored_data

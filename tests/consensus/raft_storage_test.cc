#include "consensus/raft_storage.h"

#include <gtest/gtest.h>

#include <array>
#include <string_view>

#include "simulation/simulated_world.h"

namespace cloverbank {
namespace {

proto::RaftEntry Entry(std::uint64_t index, std::uint64_t term) {
  proto::RaftEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_command("command");
  return entry;
}

std::shared_ptr<const proto::RaftSnapshot> Snapshot(std::uint64_t index, std::uint64_t term) {
  auto snapshot = std::make_shared<proto::RaftSnapshot>();
  snapshot->set_last_included_index(index);
  snapshot->set_last_included_term(term);
  return snapshot;
}

RaftWrite Metadata(std::uint64_t term) {
  RaftWrite write;
  write.metadata.emplace().set_current_term(term);
  write.metadata->set_cluster_id(7);
  write.metadata->set_member_id(1);
  return write;
}

/// The writes of a follower: entries, a conflict, a received snapshot that conflicts with the log,
/// and a snapshot of its own.
std::vector<RaftWrite> MakeWriteSequence() {
  std::vector<RaftWrite> writes(9);
  writes[0] = Metadata(1);
  writes[1].entries = {Entry(1, 1), Entry(2, 1), Entry(3, 1), Entry(4, 1), Entry(5, 1)};
  writes[2] = Metadata(2);
  writes[2].entries = {Entry(3, 2)};
  writes[3] = Metadata(4);
  writes[3].entries = {Entry(4, 2), Entry(5, 2), Entry(6, 2), Entry(7, 2)};
  writes[4].snapshot = Snapshot(6, 4);
  writes[5].replaces_log = true;
  writes[5].base_index = 6;
  writes[5].base_term = 4;
  writes[6].entries = {Entry(7, 4), Entry(8, 4)};
  writes[7].snapshot = Snapshot(8, 4);
  writes[8].replaces_log = true;
  writes[8].base_index = 7;
  writes[8].base_term = 4;
  writes[8].entries = {Entry(8, 4)};
  for (std::size_t index = 0; index < writes.size(); ++index) {
    writes[index].id = index + 1;
  }
  return writes;
}

/// The state on the disk before the first write and after each write, as `DescribeState` shows it.
/// A received snapshot takes effect before the log is cleared.
constexpr std::array<std::string_view, 10> kStateAfterWrite = {
    "0 0:", "0 0:", "0 0:1,1,1,1,1,", "0 0:1,1,2,", "0 0:1,1,2,2,2,2,2,",
    "6 6:", "6 6:", "6 6:4,4,",       "8 6:4,4,",   "8 7:4,"};
/// The lowest possible term on the disk before the first write and after each write. It can be
/// higher, since metadata is written before the log.
constexpr std::array<std::uint64_t, 10> kLowestTermAfterWrite = {0, 1, 1, 2, 4, 4, 4, 4, 4, 4};

/// @return "<snapshot index> <base index>:<term>,<term>,...", with the term of each entry in the
/// log.
std::string DescribeState(const RaftDurableState& state) {
  const std::uint64_t snapshot = state.snapshot ? state.snapshot->last_included_index() : 0;
  std::string text = std::to_string(snapshot) + " " + std::to_string(state.base_index) + ":";
  for (const proto::RaftEntry& entry : state.entries) {
    text += std::to_string(entry.term()) + ",";
  }
  return text;
}

/// One process of the machine, which loads the storage and describes what it found.
struct StorageProcess {
  StorageProcess(DataFolder& folder, RaftWriteId& persisted)
      : storage(
            folder, [&persisted](RaftWriteId write) { persisted = std::max(persisted, write); },
            [](const Status& status) { ADD_FAILURE() << status.ToString(); },
            [this](const Status& status) {
              EXPECT_EQ(status.code(), StatusCode::kResourceExhausted);
              ++disk_full_count;
            }) {
    const Result<RaftDurableState> state = storage.Load();
    loaded_state = state.ok() ? DescribeState(*state) : state.status().ToString();
    last_index = state.ok() ? state->base_index + state->entries.size() : 0;
    term = state.ok() ? state->metadata.current_term() : 0;
  }
  RaftStorage storage;
  int disk_full_count = 0;
  std::string loaded_state;
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
};

/// A world with one machine, whose storage has been started.
struct StorageWorld {
  explicit StorageWorld(std::uint64_t seed) : world(seed) {
    machine.SetProgram([this](Environment&, DataFolder& folder) {
      process = std::make_shared<StorageProcess>(folder, persisted);
      return process;
    });
    machine.Start();
    process->storage.Start();
  }

  SimulatedWorld world;
  SimulatedMachine& machine = world.AddMachine("m", "10.0.0.1");
  RaftWriteId persisted = 0;
  std::shared_ptr<StorageProcess> process;
};

/// Checks that a write after a possibly torn tail is readable after another power loss.
void CheckThatTheNextWriteIsDurable(SimulatedWorld& world, SimulatedMachine& machine,
                                    const std::shared_ptr<StorageProcess>& process) {
  RaftWrite write = Metadata(9);
  write.id = 10;
  write.entries = {Entry(process->last_index + 1, 9)};
  const std::string expected = process->loaded_state + "9,";
  process->storage.Start();
  process->storage.Write(write);
  world.RunFor(seconds(1));
  machine.LosePower();
  machine.Start();
  EXPECT_EQ(process->loaded_state, expected);
}

TEST(RaftStorageTest, PowerLossKeepsAPrefixOfTheWrites) {
  for (std::uint64_t moment = 0; moment < 300; ++moment) {
    StorageWorld storage_world(moment + 1);
    auto& [world, machine, persisted, process] = storage_world;
    for (const RaftWrite& write : MakeWriteSequence()) {
      process->storage.Write(write);
      world.RunFor(milliseconds(moment % 3 == 0 ? 0 : world.RandomBelow(12)));
      if (world.RandomBelow(8) == 0) {
        break;
      }
    }
    world.RunFor(milliseconds(world.RandomBelow(10)));
    machine.LosePower();
    machine.Start();
    const auto from = static_cast<std::ptrdiff_t>(persisted);
    const bool is_expected_state =
        std::find(kStateAfterWrite.begin() + from, kStateAfterWrite.end(), process->loaded_state) !=
        kStateAfterWrite.end();
    EXPECT_TRUE(is_expected_state)
        << moment << ": " << process->loaded_state << " after " << persisted;
    EXPECT_GE(process->term, kLowestTermAfterWrite[persisted]) << moment;
    CheckThatTheNextWriteIsDurable(world, machine, process);
  }
}

TEST(RaftStorageTest, CompletesWritesOnceTheDiskHasSpace) {
  for (std::size_t full_from = 0; full_from < MakeWriteSequence().size(); ++full_from) {
    StorageWorld storage_world(full_from + 1);
    auto& [world, machine, persisted, process] = storage_world;
    for (const RaftWrite& write : MakeWriteSequence()) {
      if (write.id == full_from + 1) {
        world.RunFor(milliseconds(50));
        machine.SetDiskLimit(1);
      }
      process->storage.Write(write);
    }
    world.RunFor(milliseconds(50));
    process->storage.Retry();
    world.RunFor(milliseconds(50));
    // The last two writes need no more space than what they replace.
    EXPECT_EQ(persisted < MakeWriteSequence().size(), full_from < 7)
        << "full from write " << full_from;
    machine.SetDiskLimit(1U << 20U);
    while (process->disk_full_count > 0 && persisted < MakeWriteSequence().size()) {
      process->storage.Retry();
      world.RunFor(milliseconds(50));
    }
    machine.LosePower();
    machine.Start();
    EXPECT_EQ(process->loaded_state, kStateAfterWrite.back()) << "full from write " << full_from;
  }
}

}  // namespace
}  // namespace cloverbank

#include <gtest/gtest.h>

#include <string>

#include "simulation/simulated_world.h"

namespace cloverbank {
namespace {

/// The program of the simulated process: it only holds the data folder.
struct Files {
  DataFolder* folder = nullptr;
};

class SimulatedDiskTest : public testing::Test {
 protected:
  SimulatedDiskTest() : machine(world.AddMachine("a", "10.0.0.1")) {
    machine.SetProgram([this](Environment&, DataFolder& folder) {
      auto files = std::make_shared<Files>();
      files->folder = &folder;
      folder_ = &folder;
      return files;
    });
    machine.Start();
  }
  DataFolder& folder() { return *folder_; }
  DataFolder::Done CountCompletion() {
    ++submitted;
    return [this](Status status) {
      ++completed;
      last_status = std::move(status);
    };
  }
  Status WaitForCompletions() {
    EXPECT_TRUE(world.RunUntil([this] { return completed == submitted; }, seconds(1)));
    return last_status;
  }
  std::string Content(const std::string& name) {
    const auto content = machine.disk().Read(name);
    return content.ok() ? *content : content.status().ToString();
  }

  SimulatedWorld world{3};
  SimulatedMachine& machine;
  DataFolder* folder_ = nullptr;
  Status last_status;
  int submitted = 0;
  int completed = 0;
};

TEST_F(SimulatedDiskTest, CompletedOperationsSurvivePowerLoss) {
  folder().Append("log", "one", CountCompletion());
  folder().Append("log", "two", CountCompletion());
  folder().WriteAt("log", 8, "x", CountCompletion());
  folder().Reserve("segments/1", 4, CountCompletion());
  folder().WriteAt("segments/1", 1, "ab", CountCompletion());
  folder().Replace("state", "old", CountCompletion());
  folder().Replace("state", "new", CountCompletion());
  folder().Append("gone", "x", CountCompletion());
  folder().Remove("gone", CountCompletion());
  folder().Append("cut", "abcdef", CountCompletion());
  folder().Truncate("cut", 2, CountCompletion());
  ASSERT_TRUE(WaitForCompletions().ok());
  machine.LosePower();
  machine.Start();
  EXPECT_EQ(Content("log"), std::string("onetwo\0\0x", 9));
  EXPECT_EQ(Content("segments/1"), std::string("\0ab\0", 4));
  EXPECT_EQ(Content("state"), "new");
  EXPECT_EQ(Content("cut"), "ab");
  EXPECT_EQ(folder().Read("gone").status().code(), StatusCode::kNotFound);
  EXPECT_EQ(*folder().List(""), (std::vector<std::string>{"cut", "log", "state"}));
  EXPECT_EQ(*folder().List("segments"), (std::vector<std::string>{"1"}));
}

TEST_F(SimulatedDiskTest, PowerLossDropsUnsyncedOperations) {
  world.disks().torn_tails = false;
  world.disks().minimum_sync = world.disks().maximum_sync;
  folder().Append("log", "kept", CountCompletion());
  ASSERT_TRUE(WaitForCompletions().ok());
  folder().Append("log", "lost", CountCompletion());
  folder().Append("created", "lost", CountCompletion());
  folder().Remove("log", CountCompletion());
  world.RunFor(world.disks().minimum_sync - Duration(1));
  machine.LosePower();
  machine.Start();
  EXPECT_EQ(Content("log"), "kept");
  EXPECT_EQ(folder().Read("created").status().code(), StatusCode::kNotFound);
  world.RunFor(seconds(1));
  EXPECT_EQ(completed, 1);
}

TEST_F(SimulatedDiskTest, PowerLossTearsAppendsButNotReplacements) {
  std::set<std::string> logs;
  std::set<std::string> states;
  for (int round = 0; round < 300; ++round) {
    machine.disk().Replace("log", "0", [](const Status&) {});
    machine.disk().Replace("state", "old", [](const Status&) {});
    folder().Append("log", "12", CountCompletion());
    folder().Append("log", "34", CountCompletion());
    folder().Replace("state", "new", CountCompletion());
    world.RunFor(milliseconds(world.RandomBelow(9)));
    machine.LosePower();
    machine.Start();
    logs.insert(Content("log"));
    states.insert(Content("state"));
  }
  EXPECT_EQ(logs, (std::set<std::string>{"0", "01", "012", "0123", "01234"}));
  EXPECT_EQ(states, (std::set<std::string>{"old", "new"}));
}

TEST_F(SimulatedDiskTest, KillKeepsWrittenBytesForTheNextRun) {
  std::set<std::string> contents;
  for (int round = 0; round < 100; ++round) {
    machine.disk().Remove("log", [](const Status&) {});
    folder().Append("log", "abc", CountCompletion());
    world.RunFor(milliseconds(world.RandomBelow(9)));
    machine.Kill();
    machine.Start();
    const std::string after_kill = Content("log");
    contents.insert(after_kill);
    machine.LosePower();
    machine.Start();
    ASSERT_EQ(Content("log"), after_kill);
  }
  EXPECT_EQ(contents, (std::set<std::string>{"abc", "not_found: read log: no such file"}));
}

TEST_F(SimulatedDiskTest, FullDiskRejectsWritesUntilSpaceIsFreed) {
  machine.SetDiskLimit(10);
  folder().Append("log", "12345678", CountCompletion());
  EXPECT_TRUE(WaitForCompletions().ok());
  EXPECT_EQ(folder().FreeBytes(), 2U);
  folder().Append("log", "abc", CountCompletion());
  EXPECT_EQ(WaitForCompletions().code(), StatusCode::kResourceExhausted);
  folder().Reserve("more", 3, CountCompletion());
  EXPECT_EQ(WaitForCompletions().code(), StatusCode::kResourceExhausted);
  EXPECT_EQ(Content("log"), "12345678");
  folder().Truncate("log", 4, CountCompletion());
  folder().Append("log", "abc", CountCompletion());
  EXPECT_TRUE(WaitForCompletions().ok());
  EXPECT_EQ(Content("log"), "1234abc");
}

TEST_F(SimulatedDiskTest, FailedSyncBlocksTheFileUntilRestart) {
  folder().Append("log", "kept", CountCompletion());
  ASSERT_TRUE(WaitForCompletions().ok());
  machine.FailSyncs(true);
  folder().Append("log", "lost", CountCompletion());
  EXPECT_EQ(WaitForCompletions().code(), StatusCode::kIoError);
  machine.FailSyncs(false);
  folder().Append("log", "later", CountCompletion());
  EXPECT_EQ(WaitForCompletions().code(), StatusCode::kIoError);
  machine.Kill();
  machine.Start();
  EXPECT_EQ(Content("log"), "kept");
  folder().Append("log", "!", CountCompletion());
  EXPECT_TRUE(WaitForCompletions().ok());
}

TEST_F(SimulatedDiskTest, FlipBitDamagesAFileAndLostDiskIsEmpty) {
  folder().Append("log", "a", CountCompletion());
  ASSERT_TRUE(WaitForCompletions().ok());
  ASSERT_TRUE(machine.FlipBit("log", 0).ok());
  EXPECT_EQ(Content("log"), "`");
  EXPECT_EQ(machine.FlipBit("log", 1).code(), StatusCode::kNotFound);
  machine.LoseDisk();
  EXPECT_FALSE(machine.running());
  EXPECT_TRUE(machine.disk().List("")->empty());
}

}  // namespace
}  // namespace cloverbank

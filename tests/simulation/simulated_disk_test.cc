#include <gtest/gtest.h>

#include <string>

#include "simulation/simulated_world.h"

namespace cloverbank {
namespace {

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
  DataFolder::Done Record() {
    ++asked;
    return [this](Status status) {
      ++finished;
      last = std::move(status);
    };
  }
  Status Finish() {
    EXPECT_TRUE(world.RunUntil([this] { return finished == asked; }, seconds(1)));
    return last;
  }
  std::string Content(const std::string& name) {
    const auto content = machine.disk().Read(name);
    return content.ok() ? *content : content.status().ToString();
  }

  SimulatedWorld world{3};
  SimulatedMachine& machine;
  DataFolder* folder_ = nullptr;
  Status last;
  int asked = 0;
  int finished = 0;
};

TEST_F(SimulatedDiskTest, FinishedOperationsOutliveAPowerLoss) {
  folder().Append("log", "one", Record());
  folder().Append("log", "two", Record());
  folder().WriteAt("log", 8, "x", Record());
  folder().Reserve("segments/1", 4, Record());
  folder().WriteAt("segments/1", 1, "ab", Record());
  folder().Replace("state", "old", Record());
  folder().Replace("state", "new", Record());
  folder().Append("gone", "x", Record());
  folder().Remove("gone", Record());
  folder().Append("cut", "abcdef", Record());
  folder().Truncate("cut", 2, Record());
  ASSERT_TRUE(Finish().ok());
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

TEST_F(SimulatedDiskTest, PowerLossDropsWhatIsNotSynced) {
  world.disks().torn_tails = false;
  world.disks().minimum_sync = world.disks().maximum_sync;
  folder().Append("log", "kept", Record());
  ASSERT_TRUE(Finish().ok());
  folder().Append("log", "lost", Record());
  folder().Append("created", "lost", Record());
  folder().Remove("log", Record());
  world.RunFor(world.disks().minimum_sync - Duration(1));
  machine.LosePower();
  machine.Start();
  EXPECT_EQ(Content("log"), "kept");
  EXPECT_EQ(folder().Read("created").status().code(), StatusCode::kNotFound);
  world.RunFor(seconds(1));
  EXPECT_EQ(finished, 1);
}

TEST_F(SimulatedDiskTest, PowerLossTearsAppendsAndNotReplacements) {
  std::set<std::string> logs;
  std::set<std::string> states;
  for (int round = 0; round < 300; ++round) {
    machine.disk().Replace("log", "0", [](const Status&) {});
    machine.disk().Replace("state", "old", [](const Status&) {});
    folder().Append("log", "12", Record());
    folder().Append("log", "34", Record());
    folder().Replace("state", "new", Record());
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
    folder().Append("log", "abc", Record());
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

TEST_F(SimulatedDiskTest, FullDiskRefusesAndRecovers) {
  machine.SetDiskLimit(10);
  folder().Append("log", "12345678", Record());
  EXPECT_TRUE(Finish().ok());
  EXPECT_EQ(folder().FreeBytes(), 2U);
  folder().Append("log", "abc", Record());
  EXPECT_EQ(Finish().code(), StatusCode::kResourceExhausted);
  folder().Reserve("more", 3, Record());
  EXPECT_EQ(Finish().code(), StatusCode::kResourceExhausted);
  EXPECT_EQ(Content("log"), "12345678");
  folder().Truncate("log", 4, Record());
  folder().Append("log", "abc", Record());
  EXPECT_TRUE(Finish().ok());
  EXPECT_EQ(Content("log"), "1234abc");
}

TEST_F(SimulatedDiskTest, FailedSyncEndsTheFileForThisRun) {
  folder().Append("log", "kept", Record());
  ASSERT_TRUE(Finish().ok());
  machine.FailSyncs(true);
  folder().Append("log", "lost", Record());
  EXPECT_EQ(Finish().code(), StatusCode::kIoError);
  machine.FailSyncs(false);
  folder().Append("log", "later", Record());
  EXPECT_EQ(Finish().code(), StatusCode::kIoError);
  machine.Kill();
  machine.Start();
  EXPECT_EQ(Content("log"), "kept");
  folder().Append("log", "!", Record());
  EXPECT_TRUE(Finish().ok());
}

TEST_F(SimulatedDiskTest, LostDiskIsEmptyAndABitCanBeFlipped) {
  folder().Append("log", "a", Record());
  ASSERT_TRUE(Finish().ok());
  ASSERT_TRUE(machine.FlipBit("log", 0).ok());
  EXPECT_EQ(Content("log"), "`");
  EXPECT_EQ(machine.FlipBit("log", 1).code(), StatusCode::kNotFound);
  machine.LoseDisk();
  EXPECT_FALSE(machine.running());
  EXPECT_TRUE(machine.disk().List("")->empty());
}

}  // namespace
}  // namespace cloverbank

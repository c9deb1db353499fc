// Ends a process that appends records at random times; every acknowledged record must be readable
// after the next start.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <random>

#include "number_log.h"
#include "simulation/simulated_world.h"
#include "storage/posix_data_folder.h"
#include "temporary_folder.h"
#include "test_loop.h"

namespace cloverbank {
namespace {

/// Ends the process by a kill, a power loss or both, chosen at random, and starts it again.
void CrashAndRestart(SimulatedWorld& world, SimulatedMachine& machine) {
  machine.FailSyncs(false);
  switch (world.RandomBelow(3)) {
    case 0:
      machine.Kill();
      break;
    case 1:
      machine.LosePower();
      break;
    default:
      machine.Kill();
      machine.LosePower();
      break;
  }
  machine.Start();
}

class SimulatedTornTailTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SimulatedTornTailTest, AcknowledgedRecordsSurviveRandomCrashes) {
  SimulatedWorld world(GetParam());
  SimulatedMachine& machine = world.AddMachine("a", "10.0.0.1");
  std::uint64_t acknowledged = 0;
  std::weak_ptr<NumberLog> current;
  machine.SetProgram([&](Environment&, DataFolder& folder) {
    auto started = std::make_shared<NumberLog>(folder, acknowledged);
    current = started;
    return started;
  });
  machine.Start();
  constexpr int kSteps = 400;
  for (int step = 0; step < kSteps && !testing::Test::HasFatalFailure(); ++step) {
    current.lock()->AppendMore(world.RandomBelow(6));
    machine.FailSyncs(world.RandomBelow(50) == 0);
    world.RunFor(milliseconds(world.RandomBelow(6)));
    if (world.RandomBelow(8) == 0 || current.lock()->failed()) {
      CrashAndRestart(world, machine);
    }
  }
  EXPECT_GT(acknowledged, 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SimulatedTornTailTest, testing::Range<std::uint64_t>(1, 21));

/// Appends until the process is killed and writes the last acknowledged number to the file
/// descriptor `acknowledgements` whenever it has grown.
[[noreturn]] void AppendUntilKilled(const std::string& path, std::uint64_t acknowledged,
                                    int acknowledgements) {
  TestLoop loop;
  PosixDataFolder folder(path, loop.poster());
  if (!folder.Open().ok()) {
    std::_Exit(1);
  }
  NumberLog log(folder, acknowledged);
  while (!log.failed()) {
    const std::uint64_t before = acknowledged;
    log.AppendMore(5);
    loop.RunUntil([&] { return acknowledged > before || log.failed(); });
    if (::write(acknowledgements, &acknowledged, sizeof acknowledged) < 0) {
      std::_Exit(1);
    }
  }
  std::_Exit(1);
}

/// Runs a child process that appends records, and kills it when `messages` + 1 acknowledgements
/// have been read from it.
/// @return the last acknowledged number that the child reported.
std::uint64_t AppendAndKill(const std::string& path, std::uint64_t acknowledged, int messages) {
  int pipe_ends[2];
  EXPECT_EQ(::pipe(pipe_ends), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::close(pipe_ends[0]);
    AppendUntilKilled(path, acknowledged, pipe_ends[1]);
  }
  ::close(pipe_ends[1]);
  std::uint64_t received = 0;
  for (int count = 0; ::read(pipe_ends[0], &received, sizeof received) == sizeof received;
       ++count) {
    acknowledged = received;
    if (count == messages) {
      ::kill(child, SIGKILL);
    }
  }
  int exit_status = 0;
  EXPECT_EQ(::waitpid(child, &exit_status, 0), child);
  EXPECT_TRUE(WIFSIGNALED(exit_status));
  ::close(pipe_ends[0]);
  return acknowledged;
}

TEST(RealTornTailTest, AcknowledgedRecordsSurviveKills) {
  const TemporaryFolder temporary_folder;
  const std::string file = temporary_folder.path() + "/" + NumberLog::kFileName;
  std::mt19937_64 random(11);
  std::uint64_t acknowledged = 0;
  for (int round = 0; round < 8 && !testing::Test::HasFatalFailure(); ++round) {
    acknowledged =
        AppendAndKill(temporary_folder.path(), acknowledged, static_cast<int>(random() % 6));
    TestLoop loop;
    PosixDataFolder folder(temporary_folder.path(), loop.poster());
    ASSERT_TRUE(folder.Open().ok());
    NumberLog log(folder, acknowledged);
    // Write part of a record, as a power loss in the middle of an append would leave it.
    const std::string torn = EncodeRecord("a record cut short", NumberLog::kSeed);
    bool torn_written = false;
    folder.Append(NumberLog::kFileName, torn.substr(0, random() % torn.size()),
                  [&torn_written](const Status& status) { torn_written = status.ok(); });
    loop.RunUntil([&torn_written] { return torn_written; });
  }
  EXPECT_GT(acknowledged, 50U);
  EXPECT_GT(std::filesystem::file_size(file), 0U);
}

}  // namespace
}  // namespace cloverbank

// Sends the same random operations to the real and the simulated folder. Other tests use the
// simulated folder in place of the real one, so both must give the same results.
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "simulation/simulated_world.h"
#include "storage/posix_data_folder.h"
#include "temporary_folder.h"
#include "test_loop.h"

namespace cloverbank {
namespace {

constexpr int kRounds = 60;
constexpr int kOperationsPerBurst = 12;

/// Submits one operation, chosen with `random`, to `folder`.
void SubmitRandomOperation(DataFolder& folder, std::mt19937_64& random, DataFolder::Done done) {
  const std::vector<std::string> names = {"a", "b", "sub/a", "sub/b"};
  const std::string& name = names[random() % names.size()];
  const std::string bytes(random() % 20, static_cast<char>('a' + random() % 26));
  const std::uint64_t position = random() % 40;
  switch (random() % 8) {
    case 0:
      return folder.Replace(name, bytes, std::move(done));
    case 1:
      return folder.Remove(name, std::move(done));
    case 2:
      return folder.Truncate(name, position, std::move(done));
    case 3:
      return folder.Reserve(name, position, std::move(done));
    case 4:
      return folder.WriteAt(name, position, bytes, std::move(done));
    default:
      return folder.Append(name, bytes, std::move(done));
  }
}

/// Submits a burst of operations and calls `run_until` with a condition that holds once all of them
/// have completed.
/// @return the status codes in the order of submission, then the name and content of every file.
std::string RunBurst(DataFolder& folder, std::mt19937_64 random,
                     const std::function<void(const std::function<bool()>&)>& run_until) {
  std::vector<std::string> codes(kOperationsPerBurst);
  int completed = 0;
  for (int index = 0; index < kOperationsPerBurst; ++index) {
    SubmitRandomOperation(folder, random, [&codes, &completed, index](const Status& status) {
      codes[index] = StatusCodeName(status.code());
      ++completed;
    });
  }
  run_until([&completed] { return completed == kOperationsPerBurst; });
  std::ostringstream outcome;
  for (const std::string& code : codes) {
    outcome << code << ' ';
  }
  for (const std::string sub_folder : {"", "sub"}) {
    const std::vector<std::string> bare_names = folder.List(sub_folder).value();
    for (const std::string& bare_name : bare_names) {
      std::string name = sub_folder;
      name.append(sub_folder.empty() ? "" : "/").append(bare_name);
      outcome << name << '=' << *folder.Read(name) << ' ';
    }
  }
  return outcome.str();
}

TEST(FolderConformanceTest, RealAndSimulatedFolderGiveSameResults) {
  const TemporaryFolder temporary_folder;
  TestLoop loop;
  PosixDataFolder real(temporary_folder.path(), loop.poster());
  ASSERT_TRUE(real.Open().ok());
  SimulatedWorld world(1);
  DataFolder* simulated = nullptr;
  SimulatedMachine& machine = world.AddMachine("a", "10.0.0.1");
  machine.SetProgram([&simulated](Environment&, DataFolder& folder) {
    simulated = &folder;
    return nullptr;
  });
  machine.Start();
  std::mt19937_64 random(5);
  for (int round = 0; round < kRounds; ++round) {
    const std::mt19937_64 burst(random());
    const std::string real_outcome =
        RunBurst(real, burst, [&loop](const auto& finished) { loop.RunUntil(finished); });
    const std::string simulated_outcome = RunBurst(
        *simulated, burst,
        [&world](const auto& finished) { ASSERT_TRUE(world.RunUntil(finished, seconds(10))); });
    ASSERT_EQ(real_outcome, simulated_outcome) << "round " << round;
  }
}

}  // namespace
}  // namespace cloverbank

/// @file
/// Measures the gain of group commit on a disk: appends through `PosixDataFolder` with several in
/// flight, compared with one pwrite and fdatasync for each append. One benchmark measures both in
/// turns, so that other load on the disk affects both, and reports their ratio.
///
/// Run it from a folder on the disk to be measured: it creates its files in the working folder.

#include <benchmark/benchmark.h>
#include <fcntl.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>

#include "storage/posix_data_folder.h"
#include "storage/posix_file.h"
#include "storage/test_loop.h"

namespace cloverbank {
namespace {

/// Short, so that a change of the disk's load affects both methods alike.
constexpr std::int64_t kRawAppendsPerTurn = 32;
/// A grouped turn makes this number times the appends in flight; with 1 in flight that is as many
/// as in a raw turn.
constexpr std::int64_t kGroupedRoundsPerTurn = 32;
constexpr const char* kFolder = "storage_benchmark_files";

using Clock = std::chrono::steady_clock;

/// Skips the rest of the benchmark with an error if `status` is one. @return whether it is OK.
bool Check(benchmark::State& state, const Status& status) {
  if (!status.ok()) {
    state.SkipWithError(status.ToString().c_str());
  }
  return status.ok();
}

/// Appends and syncs `kRawAppendsPerTurn` records one after another from offset `end`, which it
/// advances. @return the seconds that takes.
double AppendOneByOne(benchmark::State& state, const PosixFile& file, std::uint64_t& end,
                      const std::string& record) {
  const FileCalls calls;
  const Clock::time_point start = Clock::now();
  for (std::int64_t index = 0; index < kRawAppendsPerTurn; ++index) {
    if (!Check(state, file.WriteAt(calls, end, record)) || !Check(state, file.SyncData(calls))) {
      break;
    }
    end += record.size();
  }
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Appends `total` records with `in_flight` of them waiting at a time. @return the seconds that
/// takes.
double AppendGrouped(benchmark::State& state, DataFolder& folder, TestLoop& loop,
                     const std::string& record, std::int64_t in_flight, std::int64_t total) {
  std::int64_t submitted = 0;
  std::int64_t completed = 0;
  const DataFolder::Done done = [&](const Status& status) {
    ++completed;
    Check(state, status);
  };
  const Clock::time_point start = Clock::now();
  loop.RunUntil([&] {
    while (submitted < total && submitted - completed < in_flight) {
      ++submitted;
      folder.Append("grouped", record, done);
    }
    return completed == total;
  });
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Arguments: appends in flight, bytes per record.
void GroupedOverRaw(benchmark::State& state) {
  const std::int64_t in_flight = state.range(0);
  const std::string record(static_cast<std::size_t>(state.range(1)), 'r');
  TestLoop loop;
  PosixDataFolder folder(kFolder, loop.poster());
  if (!Check(state, folder.Open())) {
    return;
  }
  const auto raw_file = PosixFile::Open(std::string(kFolder) + "/raw", O_RDWR | O_CREAT);
  if (!Check(state, raw_file.status())) {
    return;
  }
  const std::int64_t grouped_turn = kGroupedRoundsPerTurn * in_flight;
  double raw_seconds = 0;
  double grouped_seconds = 0;
  std::uint64_t raw_end = 0;
  for (const auto iteration : state) {
    static_cast<void>(iteration);
    raw_seconds += AppendOneByOne(state, *raw_file, raw_end, record);
    const double seconds = AppendGrouped(state, folder, loop, record, in_flight, grouped_turn);
    grouped_seconds += seconds;
    state.SetIterationTime(seconds);
  }
  const auto turns = static_cast<double>(state.iterations());
  const double raw_per_second = turns * kRawAppendsPerTurn / raw_seconds;
  const double grouped_per_second = turns * static_cast<double>(grouped_turn) / grouped_seconds;
  state.counters["raw_per_s"] = raw_per_second;
  state.counters["grouped_per_s"] = grouped_per_second;
  state.counters["ratio"] = grouped_per_second / raw_per_second;
  std::error_code ignored;
  std::filesystem::remove_all(kFolder, ignored);
}
BENCHMARK(GroupedOverRaw)
    ->ArgNames({"in_flight", "bytes"})
    ->ArgsProduct({{1, 8, 64, 256}, {256, 4096}})
    ->UseManualTime()
    ->Iterations(16)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace cloverbank

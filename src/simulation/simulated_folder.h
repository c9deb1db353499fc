#pragma once
/// @file
/// `DataFolder` on a `SimulatedDisk`. In a process run, an operation is written to the operating
/// system a random time after it was submitted and synced some time later; operations on one file
/// keep their order. A kill drops operations that are not written yet. For tests that access the
/// disk directly, operations are durable at once.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/event_queue.h"
#include "simulation/seeded_random.h"
#include "simulation/simulated_disk.h"
#include "simulation/simulated_process.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

class SimulatedFolder final : public DataFolder {
 public:
  enum class Timing : std::uint8_t {
    kDelayed,    ///< For a process run.
    kImmediate,  ///< For a test that accesses the disk directly.
  };

  SimulatedFolder(EventQueue& queue, SimulatedDisk& disk, const DiskBehaviour& behaviour,
                  std::shared_ptr<SimulatedProcess> process, Timing timing, std::uint64_t seed);

  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<std::string> Read(const std::string& name) override;
  std::uint64_t FreeBytes() override { return disk_.FreeBytes(); }
  void Append(const std::string& name, std::string bytes, Done done) override;
  void WriteAt(const std::string& name, std::uint64_t offset, std::string bytes,
               Done done) override;
  void Replace(const std::string& name, std::string bytes, Done done) override;
  void Truncate(const std::string& name, std::uint64_t size, Done done) override;
  void Reserve(const std::string& name, std::uint64_t size, Done done) override;
  void Remove(const std::string& name, Done done) override;

 private:
  /// When the last operation on a file is written to the operating system and when it is synced.
  struct FileTimes {
    TimePoint written;
    TimePoint synced;
  };
  /// An operation that was submitted and is not synced yet.
  struct Submitted {
    std::string name;
    FileOperation operation;
    std::uint64_t sequence = 0;  ///< Set when it is written.
    Status status;
  };

  void Submit(const std::string& name, FileOperation operation, Done done);
  void Write(Submitted& submitted);
  void Sync(Submitted& submitted, std::uint64_t id);

  EventQueue& queue_;
  SimulatedDisk& disk_;
  const DiskBehaviour& behaviour_;
  const std::shared_ptr<SimulatedProcess> process_;
  const Timing timing_;
  SeededRandom random_;
  std::map<std::string, FileTimes> times_;
};

}  // namespace cloverbank

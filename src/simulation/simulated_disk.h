#pragma once
/// @file
/// A disk of the simulated world. Each file is what a power loss keeps ("durable") and the
/// operations passed to the system since its last sync, in order. A power loss keeps none of those,
/// or with torn tails a random number of them and a random prefix of the next one's bytes;
/// operations that change a name (replace, remove, truncate) happen completely or not at all.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/status.h"
#include "simulation/seeded_random.h"
#include "storage/file_operation.h"

namespace cloverbank {

class SimulatedDisk {
 public:
  /// Hands an operation to the system: readers see it from now on. On success `sequence` names it.
  Status Write(const std::string& name, FileOperation operation, std::uint64_t* sequence);
  /// Makes the file's operations up to `sequence` durable.
  Status Sync(const std::string& name, std::uint64_t sequence);

  std::optional<std::string> Read(const std::string& name) const;
  std::vector<std::string> List(const std::string& folder) const;
  std::uint64_t FreeBytes() const { return used_bytes_ > limit_ ? 0 : limit_ - used_bytes_; }

  /// What opening the folder does: everything that survived is synced. Files whose sync failed lose
  /// the bytes that were not written (the system may have dropped them from its memory).
  void Open();
  void LosePower(SeededRandom& random, bool torn_tails);
  void LoseAll();
  Status FlipBit(const std::string& name, std::uint64_t byte);
  void SetLimit(std::uint64_t bytes) { limit_ = bytes; }
  void FailSyncs(bool fail) { fail_syncs_ = fail; }

 private:
  struct Unsynced {
    std::uint64_t sequence;
    FileOperation operation;
  };
  struct File {
    std::optional<std::string> durable;  ///< Absent: a power loss leaves no such file.
    std::deque<Unsynced> unsynced;
    std::optional<std::uint64_t> visible_size;  ///< Absent: readers see no such file.
    bool failed = false;                        ///< A sync failed during this process run.
  };
  static void MakeDurable(File& file, std::uint64_t sequence);
  static void TearUnsynced(File& file, SeededRandom& random);
  /// Drops files that are neither durable nor visible, and recounts the bytes.
  void Tidy();

  /// Ample, so that only tests that set a limit meet it.
  static constexpr std::uint64_t kDefaultLimit = 64ULL << 30U;
  std::uint64_t limit_ = kDefaultLimit;
  std::uint64_t used_bytes_ = 0;
  std::uint64_t last_sequence_ = 0;
  bool fail_syncs_ = false;
  std::map<std::string, File> files_;
};

}  // namespace cloverbank

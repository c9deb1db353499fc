#pragma once
/// @file
/// A disk of the simulated world. A file consists of its durable content, which survives a power
/// loss, and the ordered operations that were written to the operating system since the last sync.
/// A power loss drops these operations. With torn tails it keeps a random number of them and a
/// random prefix of the next one's bytes, but replace, remove and truncate are applied completely
/// or not at all.

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
  /// Passes an operation to the operating system. Readers see it from then on; it is not durable
  /// yet.
  /// @param sequence receives the operation's number, for `Sync`, on success.
  /// @return kResourceExhausted if the disk is full, kNotFound if the file to truncate does not
  /// exist, kIoError if a sync of the file has failed in this process run.
  Status Write(const std::string& name, FileOperation operation, std::uint64_t* sequence);
  /// Makes the file's operations up to and including `sequence` durable; kIoError if syncs fail.
  Status Sync(const std::string& name, std::uint64_t sequence);

  std::optional<std::string> Read(const std::string& name) const;
  std::vector<std::string> List(const std::string& folder) const;
  std::uint64_t FreeBytes() const { return used_bytes_ > limit_ ? 0 : limit_ - used_bytes_; }

  /// Opens the disk for a new process run and syncs all operations that survived. Files whose sync
  /// failed lose their unsynced operations, since the operating system may have dropped them from
  /// its page cache.
  void Open();
  /// Drops unsynced operations; with `torn_tails` a random part of them becomes durable.
  void LosePower(SeededRandom& random, bool torn_tails);
  /// Removes all files.
  void LoseAll();
  /// Flips one bit of the durable content; kNotFound if there is no such file or byte.
  Status FlipBit(const std::string& name, std::uint64_t byte);
  void SetLimit(std::uint64_t bytes) { limit_ = bytes; }
  void FailSyncs(bool fail) { fail_syncs_ = fail; }

 private:
  struct UnsyncedOperation {
    std::uint64_t sequence;
    FileOperation operation;
  };
  struct File {
    std::optional<std::string> durable;  ///< Absent: the file does not survive a power loss.
    std::deque<UnsyncedOperation> unsynced;
    std::optional<std::uint64_t> visible_size;  ///< Absent: readers see no file.
    bool failed = false;                        ///< A sync failed during this process run.
  };
  static void MakeDurable(File& file, std::uint64_t sequence);
  /// Makes a random number of the unsynced operations durable and, if the next one can be torn, in
  /// half of the cases also a random prefix of its bytes.
  static void KeepRandomPrefix(File& file, SeededRandom& random);
  /// Removes files without durable content and recomputes visible sizes and used bytes from the
  /// durable contents.
  void ResetToDurable();

  /// Large enough that only tests that set a limit reach it.
  static constexpr std::uint64_t kDefaultLimit = 64ULL << 30U;
  std::uint64_t limit_ = kDefaultLimit;
  std::uint64_t used_bytes_ = 0;
  std::uint64_t last_sequence_ = 0;
  bool fail_syncs_ = false;
  std::map<std::string, File> files_;
};

}  // namespace cloverbank

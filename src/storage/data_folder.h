#pragma once
/// @file
/// The folder that holds all files of a process. Data is durable only once it is synced, so every
/// call that writes takes a callback, which runs after the data is synced (and the directory too,
/// for new or renamed files). The real folder works outside the event loop and commits waiting
/// writes in groups; the simulated folder drops unsynced bytes at a power loss.
///
/// File names are relative and may contain one level of sub-folder ("segments/12-7"), which is
/// created on demand. Reads are synchronous and meant for startup, recovery and tools.
///
/// A failed operation leaves no data behind, except that a failed `WriteAt` may have changed bytes
/// in its own range. Later operations that were already submitted for the same file are still
/// carried out, so a caller that needs a sequence of appends without gaps must stop at the first
/// failure. After a failed sync the file refuses all operations (kIoError) until the process is
/// restarted.
///
/// Threads: call on the owner's event loop only; callbacks run there too.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/status.h"

namespace cloverbank {

class DataFolder {
 public:
  /// Runs with OK once the operation is synced, otherwise with the reason why it failed.
  using Done = std::function<void(Status)>;
  virtual ~DataFolder() = default;

  /// @return the sorted names, without folder, of the files (not folders) in `folder` ("" is the
  /// top folder); empty if there is no such folder.
  virtual Result<std::vector<std::string>> List(const std::string& folder) = 0;
  /// @return the complete content of the file; kNotFound if it does not exist.
  virtual Result<std::string> Read(const std::string& name) = 0;
  /// @return the bytes free for new data on this disk, or in this folder's quota if it has one.
  virtual std::uint64_t FreeBytes() = 0;

  /// Appends to the end of the file, which is created if it does not exist, and syncs. Appends to
  /// one file complete in the order in which they were submitted; waiting appends share one sync.
  virtual void Append(const std::string& name, std::string bytes, Done done) = 0;
  /// Writes at `offset` and syncs, grouped like `Append`. The file is created and grows if needed.
  virtual void WriteAt(const std::string& name, std::uint64_t offset, std::string bytes,
                       Done done) = 0;
  /// Replaces the file's content atomically (temporary file, sync, rename, directory sync).
  virtual void Replace(const std::string& name, std::string bytes, Done done) = 0;
  /// Shortens the file to `size` bytes and syncs; never makes it longer. kNotFound if the file does
  /// not exist.
  virtual void Truncate(const std::string& name, std::uint64_t size, Done done) = 0;
  /// Creates the file if it does not exist and reserves `size` bytes of disk space for it;
  /// kResourceExhausted if the disk has too little space. Reserved, unwritten bytes read as zero.
  virtual void Reserve(const std::string& name, std::uint64_t size, Done done) = 0;
  /// Removes the file and syncs its directory; OK if the file does not exist.
  virtual void Remove(const std::string& name, Done done) = 0;
};

}  // namespace cloverbank

#pragma once
/// @file
/// The one folder of files a process keeps. Bytes last only once they are synced, so every writing
/// call reports completion through a callback that runs after the data (and, for new or renamed
/// files, the directory) is synced. The real folder does the work off the event loop and commits
/// waiting writes in groups; the simulated one drops unsynced bytes at a power loss.
///
/// File names are relative, may hold one level of sub-folder ("segments/12-7") and are created on
/// demand. Reads are synchronous and meant for start-up, recovery and tools.
///
/// A failed operation leaves nothing of itself behind, except that a failed `WriteAt` may have
/// changed its own range. Operations already asked for on the same file are still carried out: who
/// needs a run of appends without holes stops at the first failure. After a failed sync the file
/// takes no more operations (kIoError) until the process is restarted.
///
/// Threads: called and calling back on the owner's event loop only.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/status.h"

namespace cloverbank {

class DataFolder {
 public:
  using Done = std::function<void(Status)>;
  virtual ~DataFolder() = default;

  /// @return the bare names of the files (not folders) in `folder` ("" is the top), sorted; empty
  /// if
  ///   there is no such folder.
  virtual Result<std::vector<std::string>> List(const std::string& folder) = 0;
  /// @return the complete content; kNotFound if the file does not exist.
  virtual Result<std::string> Read(const std::string& name) = 0;
  /// @return bytes free for new data on this disk (of this folder's quota, if it has one).
  virtual std::uint64_t FreeBytes() = 0;

  /// Appends to the end of the file (created when absent) and syncs. Appends to one file complete
  /// in the order they were asked for; waiting ones share a sync.
  virtual void Append(const std::string& name, std::string bytes, Done done) = 0;
  /// Writes at `offset` (the file grows when needed) and syncs; grouped like `Append`.
  virtual void WriteAt(const std::string& name, std::uint64_t offset, std::string bytes,
                       Done done) = 0;
  /// Replaces the file's content atomically (temporary file, sync, rename, directory sync).
  virtual void Replace(const std::string& name, std::string bytes, Done done) = 0;
  /// Cuts the file to `size` bytes and syncs; never grows it; kNotFound if it does not exist.
  virtual void Truncate(const std::string& name, std::uint64_t size, Done done) = 0;
  /// Creates the file if absent and reserves `size` bytes of disk; kResourceExhausted when the disk
  /// is too full. Reserved, unwritten bytes read as zero.
  virtual void Reserve(const std::string& name, std::uint64_t size, Done done) = 0;
  /// Removes the file and syncs its directory; OK when it did not exist.
  virtual void Remove(const std::string& name, Done done) = 0;
};

}  // namespace cloverbank

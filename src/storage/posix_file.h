#pragma once
/// @file
/// Wrappers of system calls on files. Errors are `Status` values that name the operation, the file
/// and the cause. Calls interrupted by a signal are repeated, and short writes are continued. A
/// failed sync is never repeated, because the system may have dropped the bytes and would report
/// success the second time.
///
/// Threads: any; only one thread at a time may use an object.

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/status.h"

namespace cloverbank {

/// The system calls that write files. Tests replace them to simulate failures; the defaults call
/// the operating system.
struct FileCalls {
  std::function<ssize_t(int, const void*, std::size_t, off_t)> write_at;  ///< As pwrite(2).
  std::function<int(int)> sync_data;                                      ///< As fdatasync(2).
  std::function<int(int, off_t, off_t)> reserve;  ///< As posix_fallocate(3).
  FileCalls();
};

/// @param error value of errno.
/// @return kNotFound for ENOENT; kResourceExhausted for a full disk or quota, a file that is too
/// large or too many open files; otherwise kIoError. The message is "<operation> <path>: <cause>".
Status ErrnoStatus(std::string_view operation, const std::string& path, int error);

/// An open file; the destructor closes it.
class PosixFile {
 public:
  PosixFile() = default;
  PosixFile(PosixFile&& other) noexcept;
  PosixFile& operator=(PosixFile&& other) noexcept;
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;
  ~PosixFile();

  /// Opens or creates a file. @param flags as for open(2); O_CLOEXEC is added.
  static Result<PosixFile> Open(const std::string& path, int flags);

  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  const std::string& path() const { return path_; }

  /// @return the size of the file in bytes.
  Result<std::uint64_t> Size() const;
  Result<std::string> ReadAll() const;
  /// Writes all of `bytes` at `offset`.
  Status WriteAt(const FileCalls& calls, std::uint64_t offset, std::string_view bytes) const;
  /// Sets the size of the file to `size` bytes.
  Status Truncate(std::uint64_t size) const;
  /// Reserves disk space for the first `size` bytes of the file.
  Status Reserve(const FileCalls& calls, std::uint64_t size) const;
  /// Syncs the content, and the metadata needed to read it.
  Status SyncData(const FileCalls& calls) const;
  /// Syncs the content and all metadata; used for folders and when a data folder is opened.
  Status SyncAll() const;

 private:
  PosixFile(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path)) {}

  int descriptor_ = -1;
  std::string path_;
};

/// Syncs the entries of the folder at `path`.
Status SyncFolder(const std::string& path);

}  // namespace cloverbank

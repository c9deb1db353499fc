#pragma once
/// @file
/// System calls on files as `Status` values that name operation, file and cause. Interrupted calls
/// are repeated and short writes continued; a failed sync is never repeated, because the system may
/// have dropped the bytes and report success the second time.
///
/// Threads: any; one object belongs to one thread at a time.

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/status.h"

namespace cloverbank {

/// The calls whose failure tests must be able to cause; by default the system's own.
struct FileCalls {
  std::function<ssize_t(int, const void*, std::size_t, off_t)> write_at;  ///< As pwrite(2).
  std::function<int(int)> sync_data;                                      ///< As fdatasync(2).
  std::function<int(int, off_t, off_t)> reserve;  ///< As posix_fallocate(3).
  FileCalls();
};

/// @return kNotFound for ENOENT, kResourceExhausted for a full disk or quota, else kIoError; the
///   message is "<operation> <path>: <cause>".
Status ErrnoStatus(std::string_view operation, const std::string& path, int error);

/// An open file, closed with the object.
class PosixFile {
 public:
  PosixFile() = default;
  PosixFile(PosixFile&& other) noexcept;
  PosixFile& operator=(PosixFile&& other) noexcept;
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;
  ~PosixFile();

  /// @param flags of open(2); O_CLOEXEC is added.
  static Result<PosixFile> Open(const std::string& path, int flags);

  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  const std::string& path() const { return path_; }

  Result<std::uint64_t> Size() const;
  Result<std::string> ReadAll() const;
  /// Writes all of `bytes` at `offset`.
  Status WriteAt(const FileCalls& calls, std::uint64_t offset, std::string_view bytes) const;
  Status Truncate(std::uint64_t size) const;
  Status Reserve(const FileCalls& calls, std::uint64_t size) const;
  Status SyncData(const FileCalls& calls) const;
  /// Syncs content and all metadata; for folders and at opening.
  Status SyncAll() const;

 private:
  PosixFile(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path)) {}

  int descriptor_ = -1;
  std::string path_;
};

/// Syncs the entries of the folder at `path`.
Status SyncFolder(const std::string& path);

}  // namespace cloverbank

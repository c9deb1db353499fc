#pragma once
/// @file
/// Group commit: carries out the waiting operations of one file and syncs the file once for all of
/// them.
///
/// Threads: only one thread at a time may handle a given file; different files may be handled by
/// different threads at the same time.

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/status.h"
#include "storage/file_operation.h"
#include "storage/posix_file.h"

namespace cloverbank {

class FileGroupCommitter {
 public:
  /// @param root the folder that holds all files; must exist.
  /// @param calls system calls to use; tests replace them to make the disk fail.
  FileGroupCommitter(std::string root, FileCalls calls)
      : root_(std::move(root)), calls_(std::move(calls)) {}

  /// Result of the commit of a group.
  struct Outcome {
    std::vector<Status> statuses;  ///< One for each operation, in order.
    /// A sync failed or the file's state is unknown, so the file must take no more operations.
    bool file_failed = false;
  };

  /// @return how many of the waiting operations, counted from the first, form one group. Writes of
  /// all kinds (append, write at, truncate, reserve) share one sync; of several replacements in a
  /// row only the last is carried out; removals in a row are one removal.
  static std::size_t GroupLength(const std::deque<FileOperation>& waiting);
  /// Carries out a group of `GroupLength` operations and syncs the file and its folder as needed.
  Outcome Commit(const std::string& name, const std::vector<FileOperation>& group);
  /// Records that the sub-folder `folder` exists and its entry in the root is synced.
  void AddKnownFolder(const std::string& folder);

 private:
  Outcome CommitWrites(const std::string& name, const std::vector<FileOperation>& group);
  Outcome CommitReplace(const std::string& name, const std::vector<FileOperation>& group);
  Outcome CommitRemove(const std::string& name, const std::vector<FileOperation>& group);
  std::string PathOf(const std::string& name) const { return root_ + "/" + name; }
  /// @return the path of the folder that holds the file `name`.
  std::string FolderOf(const std::string& name) const;
  /// Creates the sub-folder of the file `name` unless it is known, and syncs its entry in the root.
  Status EnsureFolder(const std::string& name);

  const std::string root_;
  const FileCalls calls_;
  std::mutex folders_mutex_;
  /// Sub-folders, each with the result of the sync of its entry in the root. A failed sync is not
  /// repeated.
  std::map<std::string, Status> known_folders_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Group commit: carries out the operations that wait for one file and syncs them once.
/// Threads: one file is handled by one thread at a time; different files by any.

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
  /// @param root folder of all files; exists.
  FileGroupCommitter(std::string root, FileCalls calls)
      : root_(std::move(root)), calls_(std::move(calls)) {}

  /// What became of a group.
  struct Outcome {
    std::vector<Status> statuses;  ///< One an operation, in order.
    /// A sync failed or the file's state is unknown: it must take no more operations.
    bool file_failed = false;
  };

  /// @return how many of the waiting operations, from the first, are committed together: writes of
  /// all
  ///   kinds share one sync, of several replacements only the last is carried out.
  static std::size_t GroupLength(const std::deque<FileOperation>& waiting);
  /// Carries out a group of `GroupLength` operations and syncs file and folder as needed.
  Outcome Commit(const std::string& name, const std::vector<FileOperation>& group);
  /// Notes that `folder` exists and is synced.
  void AddKnownFolder(const std::string& folder);

 private:
  Outcome CommitWrites(const std::string& name, const std::vector<FileOperation>& group);
  Outcome CommitReplace(const std::string& name, const std::vector<FileOperation>& group);
  Outcome CommitRemove(const std::string& name, const std::vector<FileOperation>& group);
  std::string PathOf(const std::string& name) const { return root_ + "/" + name; }
  /// Path of the folder that holds `name`.
  std::string FolderOf(const std::string& name) const;
  /// Makes the sub-folder of `name` and syncs its entry in the root.
  Status EnsureFolder(const std::string& name);

  const std::string root_;
  const FileCalls calls_;
  std::mutex folders_mutex_;
  /// Sub-folders and how the sync of their entry in the root went. A failed one is not tried again.
  std::map<std::string, Status> known_folders_;
};

}  // namespace cloverbank

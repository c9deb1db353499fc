#pragma once
/// @file
/// `DataFolder` on a real file system. A small pool of its own threads does the disk work.
/// Operations on one file run in the order in which they were submitted; those that wait while the
/// file is busy share one sync. Operations on different files run concurrently. Callbacks are
/// posted to the owner's event loop.
///
/// A file whose sync failed takes no more operations until the process is restarted, because the
/// system may have dropped bytes and would still report later syncs as successful.

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "storage/data_folder.h"
#include "storage/file_group.h"
#include "storage/file_operation.h"
#include "storage/posix_file.h"

namespace cloverbank {

class PosixDataFolder final : public DataFolder {
 public:
  /// @param root the folder to use; `Open` creates it if its parent exists.
  /// @param post_to_loop runs a function on the owner's event loop; must be thread-safe and
  /// callable until this object is destroyed.
  /// @param calls system calls to use; tests replace them to make the disk fail.
  PosixDataFolder(std::string root, std::function<void(std::function<void()>)> post_to_loop,
                  FileCalls calls = {});
  /// Waits until all submitted operations are carried out; callbacks that have not run by then are
  /// dropped.
  ~PosixDataFolder() override;
  PosixDataFolder(const PosixDataFolder&) = delete;
  PosixDataFolder& operator=(const PosixDataFolder&) = delete;

  /// Locks the folder for this process, removes temporary files of unfinished replacements, syncs
  /// everything that an earlier process may have left unsynced, and starts the threads. Must be
  /// called once, before any other member function.
  /// @return kConflict if another process has locked the folder, otherwise the first error.
  Status Open();

  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<std::string> Read(const std::string& name) override;
  std::uint64_t FreeBytes() override;
  void Append(const std::string& name, std::string bytes, Done done) override;
  void WriteAt(const std::string& name, std::uint64_t offset, std::string bytes,
               Done done) override;
  void Replace(const std::string& name, std::string bytes, Done done) override;
  void Truncate(const std::string& name, std::uint64_t size, Done done) override;
  void Reserve(const std::string& name, std::uint64_t size, Done done) override;
  void Remove(const std::string& name, Done done) override;

 private:
  /// A file that has operations waiting or in progress, or that failed.
  struct File {
    std::deque<FileOperation> waiting;
    std::deque<Done> callbacks;  ///< One for each operation in `waiting`.
    bool busy = false;           ///< Waiting for a thread or being processed by one.
    bool failed = false;         ///< Refuses all further operations.
  };

  /// Takes an exclusive lock on the lock file; kConflict if another process holds it.
  Status Lock();
  /// Removes the temporary files in the folder at `path` and syncs the folder and all files in it.
  /// Does the same for the sub-folders of the root.
  Status CleanAndSync(const std::string& path);
  /// Queues an operation on the file `name`.
  void Submit(const std::string& name, FileOperation operation, Done done);
  /// Main function of each thread: commits groups until the folder is closing and no work is left.
  void RunWorker();
  /// Commits the next group of one file. `lock` must be held; it is released during the disk work
  /// and held again on return.
  void CommitNext(const std::string& name, std::unique_lock<std::mutex>& lock);
  /// Posts the callbacks of a group, with their statuses, to the owner's event loop.
  void Complete(std::vector<Done> callbacks, std::vector<Status> statuses);

  const std::string root_;
  const std::function<void(std::function<void()>)> post_to_loop_;
  FileGroupCommitter committer_;
  PosixFile lock_file_;
  bool open_ = false;
  /// Set to false by the destructor; read and written on the owner's event loop only.
  const std::shared_ptr<bool> callbacks_enabled_ = std::make_shared<bool>(true);

  std::mutex mutex_;  ///< Guards `closing_`, `files_` and `ready_`.
  std::condition_variable work_available_;
  bool closing_ = false;
  std::unordered_map<std::string, File> files_;
  std::deque<std::string> ready_;  ///< Busy files that are waiting for a thread.

  std::vector<std::thread> threads_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// `DataFolder` on a real file system. Disk work runs on a few threads of its own: operations on
/// one file in the order they were asked for, those that wait while it is busy sharing one sync;
/// different files side by side. Completions are posted to the owner's loop.
///
/// A file whose sync failed takes no more operations until the process is restarted: the system may
/// have dropped bytes and would report later syncs as successful.

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
  /// @param root folder to use; made if its parent exists.
  /// @param post_to_loop runs a function on the owner's loop; thread-safe, callable until the
  /// folder is
  ///   destroyed.
  /// @param calls replaced by tests to make the disk fail.
  PosixDataFolder(std::string root, std::function<void(std::function<void()>)> post_to_loop,
                  FileCalls calls = {});
  /// Waits for all disk work asked for; completions that have not run by then are dropped.
  ~PosixDataFolder() override;
  PosixDataFolder(const PosixDataFolder&) = delete;
  PosixDataFolder& operator=(const PosixDataFolder&) = delete;

  /// Takes the folder for this process alone, removes half-written replacements, syncs everything
  /// that an earlier process may have left unsynced, and starts the threads. Call once, before
  /// anything else.
  /// @return kConflict if another process has the folder.
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
  /// A file with operations waiting or under way, or one that failed.
  struct File {
    std::deque<FileOperation> waiting;
    std::deque<Done> callbacks;  ///< One for each of `waiting`.
    bool busy = false;           ///< Waiting for a thread or being processed by one.
    bool failed = false;
  };

  Status Lock();
  /// Removes temporary files of, and syncs, one folder and all files in it.
  Status CleanAndSync(const std::string& path);
  void Submit(const std::string& name, FileOperation operation, Done done);
  void RunWorker();
  /// Commits the next group of one file. Called and returning with `lock` held.
  void CommitNext(const std::string& name, std::unique_lock<std::mutex>& lock);
  /// Posts the completions of a group.
  void Complete(std::vector<Done> callbacks, std::vector<Status> statuses);

  const std::string root_;
  const std::function<void(std::function<void()>)> post_to_loop_;
  FileGroupCommitter committer_;
  PosixFile lock_file_;
  bool open_ = false;
  /// Cleared by the destructor; read and written on the loop only.
  const std::shared_ptr<bool> callbacks_enabled_ = std::make_shared<bool>(true);

  std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable work_available_;
  bool closing_ = false;
  std::unordered_map<std::string, File> files_;
  std::deque<std::string> ready_;  ///< Busy files that no thread processes yet.

  std::vector<std::thread> threads_;
};

}  // namespace cloverbank

#include "storage/posix_data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

#include "storage/file_name.h"

namespace cloverbank {

namespace {

using Kind = FileOperation::Kind;

/// Enough to sync a log, a vote file and several segments concurrently.
constexpr int kThreadCount = 4;
constexpr mode_t kFolderMode = 0755;
constexpr const char* kLockFileName = ".lock";

}  // namespace

PosixDataFolder::PosixDataFolder(std::string root,
                                 std::function<void(std::function<void()>)> post_to_loop,
                                 FileCalls calls)
    : root_(std::move(root)),
      post_to_loop_(std::move(post_to_loop)),
      committer_(root_, std::move(calls)) {}

PosixDataFolder::~PosixDataFolder() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closing_ = true;
  }
  work_available_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  *callbacks_enabled_ = false;
}

Status PosixDataFolder::Open() {
  if (::mkdir(root_.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return ErrnoStatus("make folder", root_, errno);
  }
  const std::filesystem::path parent = std::filesystem::absolute(root_).parent_path();
  Status status = SyncFolder(parent.string());
  if (status.ok()) {
    status = Lock();
  }
  if (status.ok()) {
    status = CleanAndSync(root_);
  }
  if (!status.ok()) {
    return status;
  }
  open_ = true;
  for (int index = 0; index < kThreadCount; ++index) {
    threads_.emplace_back([this] { RunWorker(); });
  }
  return Status::Ok();
}

Status PosixDataFolder::Lock() {
  auto file = PosixFile::Open(root_ + "/" + kLockFileName, O_RDWR | O_CREAT);
  if (!file.ok()) {
    return file.status();
  }
  lock_file_ = std::move(file).value();
  if (::flock(lock_file_.descriptor(), LOCK_EX | LOCK_NB) == 0) {
    return Status::Ok();
  }
  if (errno == EWOULDBLOCK) {
    return {StatusCode::kConflict, "data folder " + root_ + " is in use by another process"};
  }
  return ErrnoStatus("lock", lock_file_.path(), errno);
}

Status PosixDataFolder::CleanAndSync(const std::string& path) {
  std::error_code error;
  std::filesystem::directory_iterator entries(path, error);
  for (; !error && entries != std::filesystem::directory_iterator(); entries.increment(error)) {
    const std::filesystem::path& entry = entries->path();
    Status status = Status::Ok();
    std::error_code ignored;
    if (entries->is_directory(ignored)) {
      // The program uses only one level of sub-folders; deeper ones are not its own.
      status = path == root_ ? CleanAndSync(entry.string()) : Status::Ok();
      committer_.AddKnownFolder(entry.filename().string());
    } else if (entry.string().ends_with(kTemporarySuffix)) {
      std::error_code failure;
      std::filesystem::remove(entry, failure);
      status = failure ? ErrnoStatus("remove", entry.string(), failure.value()) : status;
    } else if (entries->is_regular_file(ignored)) {
      const auto file = PosixFile::Open(entry.string(), O_RDONLY);
      status = file.ok() ? file->SyncAll() : file.status();
    }
    if (!status.ok()) {
      return status;
    }
  }
  return error ? ErrnoStatus("list", path, error.value()) : SyncFolder(path);
}

Result<std::vector<std::string>> PosixDataFolder::List(const std::string& folder) {
  std::vector<std::string> names;
  const std::string path = folder.empty() ? root_ : root_ + "/" + folder;
  std::error_code error;
  std::filesystem::directory_iterator entries(path, error);
  for (; !error && entries != std::filesystem::directory_iterator(); entries.increment(error)) {
    std::error_code ignored;
    std::string name = entries->path().filename().string();
    if (entries->is_regular_file(ignored) && CheckFileName(name).ok()) {
      names.push_back(std::move(name));
    }
  }
  if (error && error.value() != ENOENT) {
    return ErrnoStatus("list", path, error.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::string> PosixDataFolder::Read(const std::string& name) {
  const Status name_status = CheckFileName(name);
  if (!name_status.ok()) {
    return name_status;
  }
  const auto file = PosixFile::Open(root_ + "/" + name, O_RDONLY);
  if (!file.ok()) {
    return file.status();
  }
  return file->ReadAll();
}

std::uint64_t PosixDataFolder::FreeBytes() {
  struct statvfs information {};
  if (::statvfs(root_.c_str(), &information) != 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(information.f_bavail) * information.f_frsize;
}

void PosixDataFolder::Append(const std::string& name, std::string bytes, Done done) {
  Submit(name, {Kind::kAppend, 0, std::move(bytes)}, std::move(done));
}

void PosixDataFolder::WriteAt(const std::string& name, std::uint64_t offset, std::string bytes,
                              Done done) {
  Submit(name, {Kind::kWriteAt, offset, std::move(bytes)}, std::move(done));
}

void PosixDataFolder::Replace(const std::string& name, std::string bytes, Done done) {
  Submit(name, {Kind::kReplace, 0, std::move(bytes)}, std::move(done));
}

void PosixDataFolder::Truncate(const std::string& name, std::uint64_t size, Done done) {
  Submit(name, {Kind::kTruncate, size, {}}, std::move(done));
}

void PosixDataFolder::Reserve(const std::string& name, std::uint64_t size, Done done) {
  Submit(name, {Kind::kReserve, size, {}}, std::move(done));
}

void PosixDataFolder::Remove(const std::string& name, Done done) {
  Submit(name, {Kind::kRemove, 0, {}}, std::move(done));
}

void PosixDataFolder::Submit(const std::string& name, FileOperation operation, Done done) {
  Status refused = CheckFileName(name);
  if (!open_) {
    refused = Status(StatusCode::kInternal, "data folder " + root_ + " is not open");
  }
  if (!refused.ok()) {
    Complete({std::move(done)}, {std::move(refused)});
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    File& file = files_[name];
    file.waiting.push_back(std::move(operation));
    file.callbacks.push_back(std::move(done));
    if (std::exchange(file.busy, true)) {
      return;
    }
    ready_.push_back(name);
  }
  work_available_.notify_one();
}

void PosixDataFolder::RunWorker() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    work_available_.wait(lock, [this] { return closing_ || !ready_.empty(); });
    if (ready_.empty()) {
      return;  // Closing. The thread that processes a file finishes it.
    }
    const std::string name = std::move(ready_.front());
    ready_.pop_front();
    CommitNext(name, lock);
  }
}

void PosixDataFolder::CommitNext(const std::string& name, std::unique_lock<std::mutex>& lock) {
  File& file = files_[name];  // Not erased while the file is busy.
  const std::size_t length = FileGroupCommitter::GroupLength(file.waiting);
  const auto operations_end = file.waiting.begin() + static_cast<std::ptrdiff_t>(length);
  const auto callbacks_end = file.callbacks.begin() + static_cast<std::ptrdiff_t>(length);
  const std::vector<FileOperation> group(std::make_move_iterator(file.waiting.begin()),
                                         std::make_move_iterator(operations_end));
  std::vector<Done> callbacks(std::make_move_iterator(file.callbacks.begin()),
                              std::make_move_iterator(callbacks_end));
  file.waiting.erase(file.waiting.begin(), operations_end);
  file.callbacks.erase(file.callbacks.begin(), callbacks_end);
  const bool already_failed = file.failed;
  lock.unlock();

  FileGroupCommitter::Outcome outcome;
  if (already_failed) {
    outcome = {std::vector<Status>(length, FailedFileStatus(name)), true};
  } else {
    outcome = committer_.Commit(name, group);
  }
  const bool failed = outcome.file_failed;
  Complete(std::move(callbacks), std::move(outcome.statuses));

  lock.lock();
  file.failed = failed;
  file.busy = !file.waiting.empty();
  if (file.busy) {
    ready_.push_back(name);
    work_available_.notify_one();
  } else if (!file.failed) {
    files_.erase(name);
  }
}

void PosixDataFolder::Complete(std::vector<Done> callbacks, std::vector<Status> statuses) {
  post_to_loop_([enabled = callbacks_enabled_, callbacks = std::move(callbacks),
                 statuses = std::move(statuses)] {
    for (std::size_t index = 0; index < callbacks.size() && *enabled; ++index) {
      callbacks[index](statuses[index]);
    }
  });
}

}  // namespace cloverbank

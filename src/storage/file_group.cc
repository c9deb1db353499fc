#include "storage/file_group.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

#include "storage/file_name.h"

namespace cloverbank {

namespace {

using Kind = FileOperation::Kind;
using Outcome = FileGroupCommitter::Outcome;

constexpr mode_t kFolderMode = 0755;

bool IsWrite(Kind kind) { return kind != Kind::kReplace && kind != Kind::kRemove; }

/// @return an outcome with the same status for every operation of `group`.
Outcome MakeUniformOutcome(const std::vector<FileOperation>& group, const Status& status,
                           bool file_failed) {
  return {std::vector<Status>(group.size(), status), file_failed};
}

/// Carries out write operations on one file, without syncing.
class FileWriter {
 public:
  FileWriter(const FileCalls& calls, std::string path) : calls_(calls), path_(std::move(path)) {}

  /// Applies one operation; if it fails, the file is truncated to its previous size.
  Status Apply(const FileOperation& operation) {
    Status opened = EnsureOpen(operation.kind != Kind::kTruncate);
    if (!opened.ok()) {
      return opened;
    }
    const auto size = file_.Size();
    if (!size.ok()) {
      return size.status();
    }
    Status written = ApplyAt(operation, *size);
    if (written.ok()) {
      wrote_ = true;
    } else {
      failed_ = !file_.Truncate(*size).ok() || failed_;
    }
    return written;
  }

  const PosixFile& file() const { return file_; }
  /// @return whether this object created the file.
  bool created() const { return created_; }
  /// @return whether any operation succeeded.
  bool wrote() const { return wrote_; }
  /// @return whether the effect of a failed operation could not be undone.
  bool failed() const { return failed_; }

 private:
  Status EnsureOpen(bool create) {
    if (file_.is_open()) {
      return Status::Ok();
    }
    auto opened = PosixFile::Open(path_, O_RDWR);
    if (!opened.ok() && opened.status().code() == StatusCode::kNotFound && create) {
      opened = PosixFile::Open(path_, O_RDWR | O_CREAT | O_EXCL);
      created_ = opened.ok();
    }
    if (!opened.ok()) {
      return opened.status();
    }
    file_ = std::move(opened).value();
    return Status::Ok();
  }

  Status ApplyAt(const FileOperation& operation, std::uint64_t size) const {
    switch (operation.kind) {
      case Kind::kAppend:
        return file_.WriteAt(calls_, size, operation.bytes);
      case Kind::kWriteAt:
        return file_.WriteAt(calls_, operation.position, operation.bytes);
      case Kind::kTruncate:
        return operation.position < size ? file_.Truncate(operation.position) : Status::Ok();
      case Kind::kReserve:
        return operation.position > 0 ? file_.Reserve(calls_, operation.position) : Status::Ok();
      default:
        return {StatusCode::kInternal, "operation on " + path_ + " is not a write"};
    }
  }

  const FileCalls& calls_;
  const std::string path_;
  PosixFile file_;
  bool created_ = false;
  bool wrote_ = false;
  bool failed_ = false;
};

/// Writes `bytes` to a new file at `path` and syncs it. @param sync_failed set if the write
/// succeeded: whether the sync failed.
Status WriteNewFile(const FileCalls& calls, const std::string& path, std::string_view bytes,
                    bool* sync_failed) {
  const auto file = PosixFile::Open(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.ok()) {
    return file.status();
  }
  Status status = file->WriteAt(calls, 0, bytes);
  if (status.ok()) {
    status = file->SyncData(calls);
    *sync_failed = !status.ok();
  }
  return status;
}

}  // namespace

std::size_t FileGroupCommitter::GroupLength(const std::deque<FileOperation>& waiting) {
  std::size_t length = 0;
  const Kind first = waiting.empty() ? Kind::kRemove : waiting.front().kind;
  const auto belongs = [first](Kind kind) {
    return IsWrite(first) ? IsWrite(kind) : kind == first;
  };
  while (length < waiting.size() && belongs(waiting[length].kind)) {
    ++length;
  }
  return length;
}

Outcome FileGroupCommitter::Commit(const std::string& name,
                                   const std::vector<FileOperation>& group) {
  if (group.front().kind == Kind::kRemove) {
    return CommitRemove(name, group);
  }
  const Status folder = EnsureFolder(name);
  if (!folder.ok()) {
    return MakeUniformOutcome(group, folder, false);
  }
  return group.front().kind == Kind::kReplace ? CommitReplace(name, group)
                                              : CommitWrites(name, group);
}

Outcome FileGroupCommitter::CommitWrites(const std::string& name,
                                         const std::vector<FileOperation>& group) {
  FileWriter writer(calls_, PathOf(name));
  Outcome outcome;
  for (const FileOperation& operation : group) {
    outcome.statuses.push_back(writer.Apply(operation));
  }
  outcome.file_failed = writer.failed();
  if (!writer.wrote()) {
    // Remove the empty new file: its entry in the folder would otherwise never be synced.
    if (writer.created() && ::unlink(PathOf(name).c_str()) != 0) {
      outcome.file_failed = true;
    }
    return outcome;
  }
  Status synced = writer.file().SyncData(calls_);
  if (synced.ok() && writer.created()) {
    synced = SyncFolder(FolderOf(name));
  }
  if (!synced.ok()) {
    outcome.file_failed = true;
    for (Status& status : outcome.statuses) {
      status = status.ok() ? synced : status;
    }
  }
  return outcome;
}

Outcome FileGroupCommitter::CommitReplace(const std::string& name,
                                          const std::vector<FileOperation>& group) {
  const std::string path = PathOf(name);
  const std::string temporary = path + std::string(kTemporarySuffix);
  bool sync_failed = false;
  Status status = WriteNewFile(calls_, temporary, group.back().bytes, &sync_failed);
  if (status.ok() && ::rename(temporary.c_str(), path.c_str()) != 0) {
    status = ErrnoStatus("rename", temporary, errno);
  }
  if (!status.ok()) {
    ::unlink(temporary.c_str());  // Errors are ignored: the next Open() removes it.
    return MakeUniformOutcome(group, status, sync_failed);
  }
  status = SyncFolder(FolderOf(name));
  return MakeUniformOutcome(group, status, !status.ok());
}

Outcome FileGroupCommitter::CommitRemove(const std::string& name,
                                         const std::vector<FileOperation>& group) {
  const std::string path = PathOf(name);
  if (::unlink(path.c_str()) != 0) {
    const int error = errno;
    const Status status = error == ENOENT ? Status::Ok() : ErrnoStatus("remove", path, error);
    return MakeUniformOutcome(group, status, false);
  }
  const Status synced = SyncFolder(FolderOf(name));
  return MakeUniformOutcome(group, synced, !synced.ok());
}

std::string FileGroupCommitter::FolderOf(const std::string& name) const {
  const std::string folder = SplitFileName(name).first;
  return folder.empty() ? root_ : root_ + "/" + folder;
}

void FileGroupCommitter::AddKnownFolder(const std::string& folder) {
  const std::lock_guard<std::mutex> lock(folders_mutex_);
  known_folders_.emplace(folder, Status::Ok());
}

Status FileGroupCommitter::EnsureFolder(const std::string& name) {
  const std::string folder = SplitFileName(name).first;
  // The lock is held during the sync, so that no file in a new folder is acknowledged before the
  // folder is synced.
  const std::lock_guard<std::mutex> lock(folders_mutex_);
  if (folder.empty()) {
    return Status::Ok();
  }
  const auto known = known_folders_.find(folder);
  if (known != known_folders_.end()) {
    return known->second;
  }
  const std::string path = root_ + "/" + folder;
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return ErrnoStatus("make folder", path, errno);
  }
  return known_folders_.emplace(folder, SyncFolder(root_)).first->second;
}

}  // namespace cloverbank

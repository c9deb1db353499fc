#include "storage/posix_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace cloverbank {

namespace {

/// Repeats `call` as long as it fails with EINTR. @return the result of the last call.
template <typename Call>
auto RetryInterrupted(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) {
    result = call();
  }
  return result;
}

constexpr mode_t kFileMode = 0644;
constexpr std::size_t kReadChunkBytes = 1U << 20U;

}  // namespace

FileCalls::FileCalls() : write_at(::pwrite), sync_data(::fdatasync), reserve(::posix_fallocate) {}

Status ErrnoStatus(std::string_view operation, const std::string& path, int error) {
  StatusCode code = StatusCode::kIoError;
  if (error == ENOENT) {
    code = StatusCode::kNotFound;
  } else if (error == ENOSPC || error == EDQUOT || error == EFBIG || error == EMFILE ||
             error == ENFILE) {
    code = StatusCode::kResourceExhausted;
  }
  const std::string cause = std::error_code(error, std::generic_category()).message();
  return {code, std::string(operation) + " " + path + ": " + cause};
}

PosixFile::PosixFile(PosixFile&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), path_(std::move(other.path_)) {}

PosixFile& PosixFile::operator=(PosixFile&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(path_, other.path_);
  return *this;
}

PosixFile::~PosixFile() {
  if (is_open()) {
    ::close(descriptor_);  // Errors are ignored: acknowledged data is already synced.
  }
}

Result<PosixFile> PosixFile::Open(const std::string& path, int flags) {
  const int descriptor =
      RetryInterrupted([&] { return ::open(path.c_str(), flags | O_CLOEXEC, kFileMode); });
  if (descriptor < 0) {
    return ErrnoStatus("open", path, errno);
  }
  return PosixFile(descriptor, path);
}

Result<std::uint64_t> PosixFile::Size() const {
  struct stat information {};
  if (::fstat(descriptor_, &information) != 0) {
    return ErrnoStatus("stat", path_, errno);
  }
  return static_cast<std::uint64_t>(information.st_size);
}

Result<std::string> PosixFile::ReadAll() const {
  std::string content;
  while (true) {
    const std::size_t old_size = content.size();
    content.resize(old_size + kReadChunkBytes);
    const ssize_t count = RetryInterrupted([&] {
      return ::pread(descriptor_, content.data() + old_size, kReadChunkBytes,
                     static_cast<off_t>(old_size));
    });
    if (count < 0) {
      return ErrnoStatus("read", path_, errno);
    }
    content.resize(old_size + static_cast<std::size_t>(count));
    if (count == 0) {
      return content;
    }
  }
}

Status PosixFile::WriteAt(const FileCalls& calls, std::uint64_t offset,
                          std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t count = RetryInterrupted([&] {
      return calls.write_at(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(offset));
    });
    if (count < 0) {
      return ErrnoStatus("write", path_, errno);
    }
    if (count == 0) {
      return {StatusCode::kIoError, "write " + path_ + ": the system wrote 0 bytes"};
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
    offset += static_cast<std::uint64_t>(count);
  }
  return Status::Ok();
}

Status PosixFile::Truncate(std::uint64_t size) const {
  const int result =
      RetryInterrupted([&] { return ::ftruncate(descriptor_, static_cast<off_t>(size)); });
  return result == 0 ? Status::Ok() : ErrnoStatus("truncate", path_, errno);
}

Status PosixFile::Reserve(const FileCalls& calls, std::uint64_t size) const {
  int error = EINTR;
  while (error == EINTR) {
    error = calls.reserve(descriptor_, 0, static_cast<off_t>(size));
  }
  return error == 0 ? Status::Ok() : ErrnoStatus("reserve", path_, error);
}

Status PosixFile::SyncData(const FileCalls& calls) const {
  return calls.sync_data(descriptor_) == 0 ? Status::Ok() : ErrnoStatus("fdatasync", path_, errno);
}

Status PosixFile::SyncAll() const {
  return ::fsync(descriptor_) == 0 ? Status::Ok() : ErrnoStatus("fsync", path_, errno);
}

Status SyncFolder(const std::string& path) {
  const auto folder = PosixFile::Open(path, O_RDONLY | O_DIRECTORY);
  return folder.ok() ? folder->SyncAll() : folder.status();
}

}  // namespace cloverbank

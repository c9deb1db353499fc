#include "simulation/simulated_disk.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "storage/file_name.h"

namespace cloverbank {

namespace {

using Kind = FileOperation::Kind;

/// @return the size after `operation` of a file that had `size` bytes; absent means no file.
std::optional<std::uint64_t> SizeAfter(std::optional<std::uint64_t> size,
                                       const FileOperation& operation) {
  const std::uint64_t old_size = size.value_or(0);
  switch (operation.kind) {
    case Kind::kAppend:
      return old_size + operation.bytes.size();
    case Kind::kWriteAt:
      if (operation.bytes.empty()) {
        return old_size;  // Like pwrite(2): writing no bytes does not grow the file.
      }
      return std::max<std::uint64_t>(old_size, operation.position + operation.bytes.size());
    case Kind::kReplace:
      return operation.bytes.size();
    case Kind::kTruncate:
      return std::min(old_size, operation.position);
    case Kind::kReserve:
      return std::max(old_size, operation.position);
    case Kind::kRemove:
      return std::nullopt;
  }
  return size;
}

/// Applies `operation` to the content of a file; an absent content means no file.
void Apply(const FileOperation& operation, std::optional<std::string>& content) {
  if (operation.kind == Kind::kRemove) {
    content.reset();
    return;
  }
  if (!content.has_value()) {
    content.emplace();
  }
  switch (operation.kind) {
    case Kind::kAppend:
      content->append(operation.bytes);
      break;
    case Kind::kReplace:
      *content = operation.bytes;
      break;
    case Kind::kWriteAt:
      if (operation.bytes.empty()) {
        break;
      }
      content->resize(*SizeAfter(content->size(), operation));
      content->replace(operation.position, operation.bytes.size(), operation.bytes);
      break;
    default:
      content->resize(*SizeAfter(content->size(), operation));
      break;
  }
}

/// Whether a power loss may keep only a prefix of the operation's bytes.
bool CanTear(Kind kind) { return kind == Kind::kAppend || kind == Kind::kWriteAt; }

}  // namespace

Status SimulatedDisk::Write(const std::string& name, FileOperation operation,
                            std::uint64_t* sequence) {
  const auto found = files_.find(name);
  const bool known = found != files_.end();
  if (known && found->second.failed) {
    return FailedFileStatus(name);
  }
  const auto old_size = known ? found->second.visible_size : std::nullopt;
  if (operation.kind == Kind::kTruncate && !old_size.has_value()) {
    return {StatusCode::kNotFound, "truncate " + name + ": no such file"};
  }
  const auto new_size = SizeAfter(old_size, operation);
  const std::uint64_t used_after = used_bytes_ - old_size.value_or(0) + new_size.value_or(0);
  if (used_after > limit_ && used_after > used_bytes_) {
    return {StatusCode::kResourceExhausted, "write " + name + ": no space left on device"};
  }
  File& file = known ? found->second : files_[name];
  file.visible_size = new_size;
  used_bytes_ = used_after;
  *sequence = ++last_sequence_;
  file.unsynced.push_back({*sequence, std::move(operation)});
  return Status::Ok();
}

Status SimulatedDisk::Sync(const std::string& name, std::uint64_t sequence) {
  const auto found = files_.find(name);
  if (found == files_.end()) {
    return Status::Ok();  // A later operation removed the file and is synced.
  }
  File& file = found->second;
  if (fail_syncs_) {
    file.failed = true;
  }
  if (file.failed) {
    return FailedFileStatus(name);
  }
  MakeDurable(file, sequence);
  if (!file.durable.has_value() && file.unsynced.empty()) {
    files_.erase(found);
  }
  return Status::Ok();
}

void SimulatedDisk::MakeDurable(File& file, std::uint64_t sequence) {
  while (!file.unsynced.empty() && file.unsynced.front().sequence <= sequence) {
    Apply(file.unsynced.front().operation, file.durable);
    file.unsynced.pop_front();
  }
}

std::optional<std::string> SimulatedDisk::Read(const std::string& name) const {
  const auto found = files_.find(name);
  if (found == files_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> content = found->second.durable;
  for (const UnsyncedOperation& unsynced : found->second.unsynced) {
    Apply(unsynced.operation, content);
  }
  return content;
}

std::vector<std::string> SimulatedDisk::List(const std::string& folder) const {
  std::vector<std::string> names;
  for (const auto& [name, file] : files_) {
    const auto [file_folder, bare_name] = SplitFileName(name);
    if (file.visible_size.has_value() && file_folder == folder) {
      names.push_back(bare_name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

void SimulatedDisk::Open() {
  for (auto& [name, file] : files_) {
    if (std::exchange(file.failed, false)) {
      file.unsynced.clear();
    }
    MakeDurable(file, std::numeric_limits<std::uint64_t>::max());
  }
  ResetToDurable();
}

void SimulatedDisk::LosePower(SeededRandom& random, bool torn_tails) {
  for (auto& [name, file] : files_) {
    if (torn_tails) {
      KeepRandomPrefix(file, random);
    }
    file.unsynced.clear();
    file.failed = false;
  }
  ResetToDurable();
}

void SimulatedDisk::KeepRandomPrefix(File& file, SeededRandom& random) {
  std::uint64_t kept = random.Below(file.unsynced.size() + 1);
  for (; kept > 0; --kept) {
    Apply(file.unsynced.front().operation, file.durable);
    file.unsynced.pop_front();
  }
  const bool tear_next = random.Below(2) == 0;
  if (!tear_next || file.unsynced.empty() || !CanTear(file.unsynced.front().operation.kind)) {
    return;
  }
  FileOperation torn = std::move(file.unsynced.front().operation);
  torn.bytes.resize(random.Below(torn.bytes.size() + 1));
  Apply(torn, file.durable);
}

void SimulatedDisk::LoseAll() {
  files_.clear();
  used_bytes_ = 0;
}

Status SimulatedDisk::FlipBit(const std::string& name, std::uint64_t byte) {
  const auto found = files_.find(name);
  if (found == files_.end() || !found->second.durable.has_value() ||
      byte >= found->second.durable->size()) {
    return {StatusCode::kNotFound, "no stored byte " + std::to_string(byte) + " in " + name};
  }
  constexpr std::uint64_t kBitsInByte = 8;
  char& target = (*found->second.durable)[byte];
  target = static_cast<char>(static_cast<unsigned char>(target) ^ (1U << (byte % kBitsInByte)));
  return Status::Ok();
}

void SimulatedDisk::ResetToDurable() {
  used_bytes_ = 0;
  std::erase_if(files_, [](const auto& entry) { return !entry.second.durable.has_value(); });
  for (auto& [name, file] : files_) {
    file.visible_size = file.durable->size();
    used_bytes_ += *file.visible_size;
  }
}

}  // namespace cloverbank

#include "simulation/simulated_folder.h"

#include <algorithm>
#include <utility>

#include "storage/file_name.h"

namespace cloverbank {

using Kind = FileOperation::Kind;

SimulatedFolder::SimulatedFolder(EventQueue& queue, SimulatedDisk& disk,
                                 const DiskBehaviour& behaviour,
                                 std::shared_ptr<SimulatedProcess> process, Timing timing,
                                 std::uint64_t seed)
    : queue_(queue),
      disk_(disk),
      behaviour_(behaviour),
      process_(std::move(process)),
      timing_(timing),
      random_(seed) {}

Result<std::vector<std::string>> SimulatedFolder::List(const std::string& folder) {
  return disk_.List(folder);
}

Result<std::string> SimulatedFolder::Read(const std::string& name) {
  const Status name_status = CheckFileName(name);
  if (!name_status.ok()) {
    return name_status;
  }
  auto content = disk_.Read(name);
  if (!content.has_value()) {
    return Status(StatusCode::kNotFound, "read " + name + ": no such file");
  }
  return *std::move(content);
}

void SimulatedFolder::Append(const std::string& name, std::string bytes, Done done) {
  Submit(name, {Kind::kAppend, 0, std::move(bytes)}, std::move(done));
}

void SimulatedFolder::WriteAt(const std::string& name, std::uint64_t offset, std::string bytes,
                              Done done) {
  Submit(name, {Kind::kWriteAt, offset, std::move(bytes)}, std::move(done));
}

void SimulatedFolder::Replace(const std::string& name, std::string bytes, Done done) {
  Submit(name, {Kind::kReplace, 0, std::move(bytes)}, std::move(done));
}

void SimulatedFolder::Truncate(const std::string& name, std::uint64_t size, Done done) {
  Submit(name, {Kind::kTruncate, size, {}}, std::move(done));
}

void SimulatedFolder::Reserve(const std::string& name, std::uint64_t size, Done done) {
  Submit(name, {Kind::kReserve, size, {}}, std::move(done));
}

void SimulatedFolder::Remove(const std::string& name, Done done) {
  Submit(name, {Kind::kRemove, 0, {}}, std::move(done));
}

void SimulatedFolder::Submit(const std::string& name, FileOperation operation, Done done) {
  if (!process_->alive()) {
    return;
  }
  const std::uint64_t id = process_->AddDiskOperation(std::move(done));
  const auto submitted =
      std::make_shared<Submitted>(Submitted{name, std::move(operation), 0, CheckFileName(name)});
  if (timing_ == Timing::kImmediate) {
    Write(*submitted);
    Sync(*submitted, id);
    return;
  }
  FileTimes& times = times_[name];
  const Duration sync_time = random_.Between(behaviour_.minimum_sync, behaviour_.maximum_sync);
  const Duration write_time = random_.Between(Duration::zero(), sync_time);
  times.written = std::max(times.written, queue_.now() + write_time);
  times.synced = std::max(times.synced, queue_.now() + sync_time);
  // `this` stays valid, because the folder lives as long as the world. After the process has ended,
  // neither step runs.
  queue_.Schedule(times.written, [this, submitted] {
    if (process_->alive()) {
      Write(*submitted);
    }
  });
  queue_.Schedule(times.synced, [this, submitted, id] {
    if (process_->alive()) {
      Sync(*submitted, id);
    }
  });
}

void SimulatedFolder::Write(Submitted& submitted) {
  if (submitted.status.ok()) {
    submitted.status =
        disk_.Write(submitted.name, std::move(submitted.operation), &submitted.sequence);
  }
}

void SimulatedFolder::Sync(Submitted& submitted, std::uint64_t id) {
  if (submitted.status.ok()) {
    submitted.status = disk_.Sync(submitted.name, submitted.sequence);
  }
  const auto weak = std::weak_ptr(process_);
  queue_.Schedule(queue_.now(), [weak, id, status = submitted.status] {
    const auto process = weak.lock();
    if (process) {
      process->Deliver([raw = process.get(), id, status] { raw->FinishDiskOperation(id, status); });
    }
  });
}

}  // namespace cloverbank

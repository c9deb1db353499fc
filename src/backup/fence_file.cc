#include "backup/fence_file.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "base/logging.h"
#include "proto/log.pb.h"
#include "storage/record_file.h"

namespace cloverbank {
namespace {

constexpr const char* kFileNames[] = {"fenced", "fenced_copy"};
constexpr std::uint64_t kChecksumSeed = 0;

std::optional<std::set<NodeId>> Decode(const std::string& bytes) {
  RecordReader reader(bytes, kChecksumSeed);
  const std::optional<std::string_view> payload = reader.Next();
  proto::FencedNodes fenced;
  if (!payload || !fenced.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
    return std::nullopt;
  }
  std::set<NodeId> nodes;
  for (const std::uint64_t node : fenced.node_ids()) {
    nodes.insert(NodeId(node));
  }
  return nodes;
}

std::string Encode(const std::set<NodeId>& nodes) {
  proto::FencedNodes fenced;
  for (const NodeId node : nodes) {
    fenced.add_node_ids(node.value());
  }
  return EncodeRecord(fenced.SerializeAsString(), kChecksumSeed);
}

}  // namespace

Result<std::set<NodeId>> FenceFile::Load() {
  std::vector<std::set<NodeId>> files;
  bool any_damaged = false;
  for (const char* name : kFileNames) {
    const Result<std::string> bytes = folder_.Read(name);
    if (!bytes.ok() && bytes.status().code() == StatusCode::kNotFound) {
      continue;
    }
    std::optional<std::set<NodeId>> file = bytes.ok() ? Decode(*bytes) : std::nullopt;
    if (!file) {
      any_damaged = true;
      Log(LogLevel::kError, "fence_file_damaged", {{"file", name}});
      continue;
    }
    fenced_.insert(file->begin(), file->end());
    files.push_back(*std::move(file));
  }
  if (any_damaged && files.empty()) {
    return Status(StatusCode::kCorrupt,
                  "no fence file (fenced, fenced_copy) can be read; replace this disk or empty its "
                  "data folder");
  }
  // A fence that is in only one file counts as not synced until the next save writes both files.
  if (files.size() == std::size(kFileNames)) {
    std::set_intersection(files[0].begin(), files[0].end(), files[1].begin(), files[1].end(),
                          std::inserter(synced_, synced_.end()));
  }
  return fenced_;
}

void FenceFile::Add(NodeId node, DataFolder::Done done) {
  fenced_.insert(node);
  waiting_callbacks_.push_back(std::move(done));
  if (!save_in_progress_) {
    StartSave();
  }
}

void FenceFile::StartSave() {
  save_in_progress_ = true;
  saving_callbacks_ = std::exchange(waiting_callbacks_, {});
  WriteFile(0, std::make_shared<const Content>(Content{fenced_, Encode(fenced_)}));
}

void FenceFile::WriteFile(std::size_t index, const std::shared_ptr<const Content>& content) {
  if (index == std::size(kFileNames)) {
    CompleteSave(content->nodes, Status::Ok());
    return;
  }
  folder_.Replace(kFileNames[index], content->bytes, [this, index, content](const Status& status) {
    if (status.ok()) {
      WriteFile(index + 1, content);
    } else {
      CompleteSave(content->nodes, status);
    }
  });
}

void FenceFile::CompleteSave(const std::set<NodeId>& saved, const Status& status) {
  save_in_progress_ = false;
  if (status.ok()) {
    synced_ = saved;
  }
  for (const DataFolder::Done& done : std::exchange(saving_callbacks_, {})) {
    done(status);
  }
  if (!waiting_callbacks_.empty() && !save_in_progress_) {
    StartSave();
  }
}

}  // namespace cloverbank

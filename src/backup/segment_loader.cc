#include "backup/segment_loader.h"

#include <string>
#include <string_view>
#include <utility>

#include "backup/corrupt_replica.h"
#include "base/logging.h"
#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

/// @return a corrupt replica that stands for an unusable file, under the key in the file name, so
/// that the owner can free it or open it again.
Replica MakeCorruptReplica(const ReplicaKey& key) {
  Replica replica;
  replica.header.key = key;
  replica.header.state = ReplicaState::kClosed;
  replica.corrupt = true;
  return replica;
}

/// @param data the segment's bytes in the file, with reserved space after them.
/// @param keep_staging whether an open replica keeps its bytes in memory.
Replica ScanReplica(const ReplicaHeader& header, std::string_view data, bool keep_staging) {
  Replica replica;
  replica.header = header;
  const SegmentScan scan = ScanSegment(header.key.segment, data.substr(0, header.capacity));
  replica.corrupt = scan.valid_length < header.length;
  if (!replica.IsOpen()) {
    replica.length = header.length;
    return replica;
  }
  replica.length = scan.valid_length;
  if (keep_staging && !replica.corrupt) {
    replica.staging = data.substr(0, scan.valid_length);
  }
  return replica;
}

/// Adds the replica in the file of `key` to `store`.
/// @return false, without adding a replica, if the file was left by an open that did not finish.
bool LoadSegment(Environment& environment, DataFolder& folder, SegmentStore& store,
                 const ReplicaKey& key, const std::string& name) {
  const auto restore_corrupt = [&](std::string_view reason) {
    ReportCorruptReplica(environment, name, CorruptionFoundBy::kLoad, reason);
    store.Restore(MakeCorruptReplica(key));
  };
  const Result<std::string> file = folder.Read(SegmentFileName(key));
  if (!file.ok()) {
    restore_corrupt(file.status().message());
    return true;
  }
  const Result<ReplicaHeader> header = ReadReplicaHeader(*file);
  if (!header.ok() && header.status().code() == StatusCode::kNotFound) {
    return false;
  }
  if (!header.ok() || header->key != key) {
    restore_corrupt(header.ok() ? "header names another node or segment than the file name"
                                : header.status().message());
    return true;
  }
  Replica replica = ScanReplica(*header, SegmentData(*file), !store.IsFenced(key.node));
  if (replica.corrupt) {
    ReportCorruptReplica(environment, name, CorruptionFoundBy::kLoad,
                         "fewer valid bytes than its header records");
  }
  store.Restore(std::move(replica));
  return true;
}

}  // namespace

Result<std::vector<ReplicaKey>> LoadSegments(Environment& environment, DataFolder& folder,
                                             SegmentStore& store) {
  const Result<std::vector<std::string>> names = folder.List(std::string(kSegmentFolder));
  if (!names.ok()) {
    return names.status();
  }
  std::vector<ReplicaKey> unfinished;
  for (const std::string& name : *names) {
    const std::optional<ReplicaKey> key = ParseSegmentFileName(name);
    if (!key) {
      Log(LogLevel::kWarning, "segment_file_name_unknown", {{"file", name}});
    } else if (!LoadSegment(environment, folder, store, *key, name)) {
      unfinished.push_back(*key);
    }
  }
  return unfinished;
}

}  // namespace cloverbank

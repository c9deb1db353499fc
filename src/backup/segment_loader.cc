#include "backup/segment_loader.h"

#include <string>
#include <string_view>
#include <utility>

#include "base/logging.h"
#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

void ReportCorrupt(Environment& environment, const std::string& name, std::string_view why) {
  environment.metrics().Increment("backup_corrupt_replicas_total", {{"found_by", "load"}});
  Log(LogLevel::kError, "replica_corrupt", {{"file", name}, {"found_by", "load"}, {"reason", why}});
}

/// A file that can not be used: kept under the key of its name, so that it can be freed or
/// reopened.
Replica CorruptReplica(const ReplicaKey& key) {
  Replica replica;
  replica.header.key = key;
  replica.header.state = ReplicaState::kClosed;
  replica.corrupt = true;
  return replica;
}

Replica ReplicaOf(const ReplicaHeader& header, std::string_view data, bool keep_staging) {
  Replica replica;
  replica.header = header;
  const SegmentScan scan = ScanSegment(header.key.segment, data.substr(0, header.capacity));
  replica.corrupt = scan.valid_length < header.length;
  if (!replica.open()) {
    replica.length = header.length;
    return replica;
  }
  replica.length = scan.valid_length;
  if (keep_staging && !replica.corrupt) {
    replica.staging = data.substr(0, scan.valid_length);
  }
  return replica;
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
      continue;
    }
    const Result<std::string> file = folder.Read(SegmentFileName(*key));
    if (!file.ok()) {
      ReportCorrupt(environment, name, file.status().message());
      store.Restore(CorruptReplica(*key));
      continue;
    }
    const Result<ReplicaHeader> header = ReadReplicaHeader(*file);
    if (!header.ok() && header.status().code() == StatusCode::kNotFound) {
      unfinished.push_back(*key);
      continue;
    }
    if (!header.ok() || header->key != *key) {
      ReportCorrupt(environment, name, header.ok() ? "wrong key" : header.status().message());
      store.Restore(CorruptReplica(*key));
      continue;
    }
    Replica replica = ReplicaOf(*header, SegmentData(*file), !store.IsFenced(key->node));
    if (replica.corrupt) {
      ReportCorrupt(environment, name, "shorter than its recorded length");
    }
    store.Restore(std::move(replica));
  }
  return unfinished;
}

}  // namespace cloverbank

#include "backup/replica_reader.h"

#include <set>
#include <utility>

#include "log_format/segment_format.h"

namespace cloverbank {

Result<std::string> ReadReplica(DataFolder& folder, const Replica& replica) {
  const SegmentId segment = replica.header.key.segment;
  if (replica.IsOpen() && !replica.staging.empty()) {
    const std::size_t valid = ScanSegment(segment, replica.staging).valid_length;
    return replica.staging.substr(0, valid);
  }
  Result<std::string> file = folder.Read(SegmentFileName(replica.header.key));
  if (!file.ok()) {
    return Status(StatusCode::kCorrupt, "replica file cannot be read: " + file.status().message());
  }
  std::string bytes = *std::move(file);
  bytes.erase(0, kSegmentDataOffset);
  if (bytes.size() > replica.length) {
    bytes.resize(replica.length);
  }
  const std::size_t valid = ScanSegment(segment, bytes).valid_length;
  if (valid < replica.header.length) {
    return Status(StatusCode::kCorrupt, "replica has " + std::to_string(valid) +
                                            " valid bytes; its header records " +
                                            std::to_string(replica.header.length));
  }
  bytes.resize(valid);
  return bytes;
}

Status FilterEntries(SegmentId segment, std::string_view bytes,
                     const proto::GetRecoveryDataRequest& request,
                     proto::GetRecoveryDataResponse* response) {
  std::set<std::uint64_t> tags;
  for (const std::uint64_t partition : request.partition_ids()) {
    tags.insert(partition + 1);
  }
  SegmentReader reader(segment, bytes);
  proto::LogEntry entry;
  while (reader.Next(&entry)) {
    if (tags.contains(entry.partition_tag())) {
      *response->add_entries() = std::move(entry);
      entry.Clear();
    }
  }
  if (reader.valid_length() != bytes.size()) {
    return {StatusCode::kCorrupt, "entry at offset " + std::to_string(reader.valid_length()) +
                                      " of segment " + segment.ToString() + " cannot be decoded"};
  }
  return Status::Ok();
}

}  // namespace cloverbank

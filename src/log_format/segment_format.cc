#include "log_format/segment_format.h"

#include <optional>

namespace cloverbank {

std::size_t FramedEntryBytes(const proto::LogEntry& entry) {
  return kRecordHeaderBytes + entry.ByteSizeLong();
}

std::size_t AppendEntry(std::string* out, SegmentId segment, const proto::LogEntry& entry) {
  const std::size_t old_size = out->size();
  AppendRecord(*out, entry.SerializeAsString(), segment.value());
  return out->size() - old_size;
}

bool SegmentReader::NextBytes(std::string_view* serialized) {
  const std::optional<std::string_view> payload = undecodable_ ? std::nullopt : records_.Next();
  if (!payload) {
    return false;
  }
  *serialized = *payload;
  valid_length_ = records_.valid_bytes();
  return true;
}

bool SegmentReader::Next(proto::LogEntry* entry) {
  const std::size_t start = valid_length_;
  std::string_view serialized;
  if (!NextBytes(&serialized)) {
    return false;
  }
  if (!entry->ParseFromArray(serialized.data(), static_cast<int>(serialized.size()))) {
    valid_length_ = start;
    undecodable_ = true;
    return false;
  }
  return true;
}

std::string EncodeSegmentStart(NodeId owner, SegmentId segment,
                               const std::vector<SegmentId>& digest) {
  std::string bytes;
  proto::LogEntry header;
  header.mutable_segment_header()->set_node_id(owner.value());
  header.mutable_segment_header()->set_segment_id(segment.value());
  AppendEntry(&bytes, segment, header);
  proto::LogEntry digest_entry;
  for (const SegmentId live : digest) {
    digest_entry.mutable_log_digest()->add_segment_ids(live.value());
  }
  AppendEntry(&bytes, segment, digest_entry);
  return bytes;
}

std::vector<std::uint64_t> FindLogDigest(SegmentId segment, std::string_view bytes) {
  constexpr int kDigestPosition = 2;  // Counted from 1: right after the segment header.
  SegmentReader reader(segment, bytes);
  proto::LogEntry entry;
  for (int i = 0; i < kDigestPosition && reader.Next(&entry); ++i) {
    if (entry.has_log_digest()) {
      const auto& ids = entry.log_digest().segment_ids();
      return {ids.begin(), ids.end()};
    }
  }
  return {};
}

SegmentScan ScanSegment(SegmentId segment, std::string_view bytes) {
  SegmentReader reader(segment, bytes);
  SegmentScan scan;
  std::string_view serialized;
  while (reader.NextBytes(&serialized)) {
    ++scan.entry_count;
  }
  scan.valid_length = reader.valid_length();
  scan.tail = reader.tail();
  return scan;
}

}  // namespace cloverbank

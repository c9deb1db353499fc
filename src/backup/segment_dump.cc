#include "backup/segment_dump.h"

#include "backup/replica_reader.h"
#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

constexpr std::size_t kMaximumPrintedBytes = 160;

std::string_view TailName(RecordTail tail) {
  switch (tail) {
    case RecordTail::kClean:
      return "clean";
    case RecordTail::kReserved:
      return "reserved";
    case RecordTail::kTorn:
      return "torn";
    case RecordTail::kCorrupt:
      return "corrupt";
  }
  return "unknown";
}

std::string FormatHeader(const ReplicaHeader& header) {
  return "segment " + header.key.segment.ToString() + " of node " + header.key.node.ToString() +
         ", " + std::string(ReplicaStateName(header.state)) + ", epoch " + header.epoch.ToString() +
         ", capacity " + std::to_string(header.capacity) + ", recorded length " +
         std::to_string(header.length) + ", generation " + std::to_string(header.generation) + "\n";
}

std::string EntryKindName(const proto::LogEntry& entry) {
  const google::protobuf::FieldDescriptor* field =
      proto::LogEntry::descriptor()->FindFieldByNumber(entry.payload_case());
  return field == nullptr ? "empty" : field->name();
}

std::string FormatEntry(const proto::LogEntry& entry, std::size_t offset, std::size_t bytes) {
  std::string line = "offset " + std::to_string(offset) + " bytes " + std::to_string(bytes);
  if (entry.partition_tag() != 0) {
    line += " partition " + std::to_string(entry.partition_tag() - 1) + " sequence " +
            std::to_string(entry.sequence());
  }
  line += " " + EntryKindName(entry) + " ";
  std::string content = entry.ShortDebugString();
  if (content.size() > kMaximumPrintedBytes) {
    content.resize(kMaximumPrintedBytes);
    content += "...";
  }
  return line + content + "\n";
}

/// @return the segment's bytes, at most as many as the capacity in `header`.
std::string_view SegmentContents(std::string_view file, const ReplicaHeader& header) {
  return SegmentData(file).substr(0, header.capacity);
}

/// @return OK if a backup would offer the contents of the file, otherwise why not.
Status OfferStatus(const SegmentFileCheck& check) {
  if (check.header->state == ReplicaState::kReplacing) {
    return {StatusCode::kConflict, "replacement of this replica is not complete"};
  }
  if (check.valid_length < check.header->length) {
    return {StatusCode::kCorrupt, std::to_string(check.valid_length) +
                                      " valid bytes; the header records " +
                                      std::to_string(check.header->length)};
  }
  return Status::Ok();
}

}  // namespace

SegmentFileCheck CheckSegmentFile(std::string_view file) {
  SegmentFileCheck check;
  const Result<ReplicaHeader> header = ReadReplicaHeader(file);
  if (!header.ok()) {
    check.status = header.status();
    return check;
  }
  check.header = *header;
  const SegmentId segment = header->key.segment;
  const std::string_view contents = SegmentContents(file, *header);
  const SegmentScan scan = ScanSegment(segment, contents);
  check.valid_length = scan.valid_length;
  check.entry_count = scan.entry_count;
  check.tail = scan.tail;
  check.digest = FindLogDigest(segment, contents);
  check.status = OfferStatus(check);
  return check;
}

std::string PrintSegmentFile(std::string_view file) {
  const SegmentFileCheck check = CheckSegmentFile(file);
  if (!check.header) {
    return check.status.ToString() + "\n";
  }
  std::string text = FormatHeader(*check.header);
  SegmentReader reader(check.header->key.segment, SegmentContents(file, *check.header));
  proto::LogEntry entry;
  std::size_t offset = 0;
  while (reader.Next(&entry)) {
    text += FormatEntry(entry, offset, reader.valid_length() - offset);
    offset = reader.valid_length();
  }
  text += "end at " + std::to_string(offset) + ", tail " + std::string(TailName(reader.tail())) +
          ", " + check.status.ToString() + "\n";
  return text;
}

}  // namespace cloverbank

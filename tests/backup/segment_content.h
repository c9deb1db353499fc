#pragma once
/// @file
/// Segment contents for tests.

#include <string>
#include <vector>

#include "log/segment_format.h"

namespace cloverbank {

inline proto::LogEntry NumberedEntry(std::uint64_t partition, std::uint64_t sequence) {
  proto::LogEntry entry;
  entry.set_partition_tag(partition + 1);
  entry.set_sequence(sequence);
  entry.mutable_batch_cancelled()->set_batch_id("batch-" + std::to_string(sequence));
  return entry;
}

/// @return one framed entry.
inline std::string Framed(std::uint64_t segment, const proto::LogEntry& entry) {
  std::string bytes;
  AppendEntry(&bytes, SegmentId(segment), entry);
  return bytes;
}

/// @return the framed header and digest that begin a segment.
inline std::string SegmentStart(std::uint64_t node, std::uint64_t segment,
                                const std::vector<std::uint64_t>& digest) {
  proto::LogEntry header;
  header.mutable_segment_header()->set_node_id(node);
  header.mutable_segment_header()->set_segment_id(segment);
  proto::LogEntry digest_entry;
  for (const std::uint64_t id : digest) {
    digest_entry.mutable_log_digest()->add_segment_ids(id);
  }
  return Framed(segment, header) + Framed(segment, digest_entry);
}

}  // namespace cloverbank

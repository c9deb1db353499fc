#pragma once
/// @file
/// Functions that make segment contents and `backup.*` requests for tests.

#include <string>
#include <vector>

#include "log_format/segment_format.h"

namespace cloverbank {

/// @return an entry of `partition` that cancels batch "batch-<sequence>".
inline proto::LogEntry NumberedEntry(std::uint64_t partition, std::uint64_t sequence) {
  proto::LogEntry entry;
  entry.set_partition_tag(partition + 1);
  entry.set_sequence(sequence);
  entry.mutable_batch_cancelled()->set_batch_id("batch-" + std::to_string(sequence));
  return entry;
}

/// @return the bytes of `entry` as a segment stores them: framed with length and checksum.
inline std::string Framed(std::uint64_t segment, const proto::LogEntry& entry) {
  std::string bytes;
  AppendEntry(&bytes, SegmentId(segment), entry);
  return bytes;
}

/// @return the first two entries of a segment, framed: the segment header and the log digest.
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

/// @return a request about one segment.
template <typename Request>
Request SegmentRequest(std::uint64_t node, std::uint64_t segment) {
  Request request;
  request.set_node_id(node);
  request.set_segment_id(segment);
  return request;
}
inline proto::OpenSegmentRequest OpenRequest(std::uint64_t node, std::uint64_t segment,
                                             std::uint64_t epoch, std::uint64_t capacity) {
  auto request = SegmentRequest<proto::OpenSegmentRequest>(node, segment);
  request.set_epoch(epoch);
  request.set_capacity(capacity);
  return request;
}
/// The role of a write in a replacement: not part of one, an earlier part, or the part that
/// completes it.
enum class ReplacementPart : std::uint8_t { kNone, kPartial, kLast };
inline proto::WriteSegmentRequest WriteRequest(std::uint64_t node, std::uint64_t segment,
                                               std::uint64_t offset, const std::string& data,
                                               std::uint64_t epoch,
                                               ReplacementPart part = ReplacementPart::kNone) {
  auto request = SegmentRequest<proto::WriteSegmentRequest>(node, segment);
  request.set_epoch(epoch);
  request.set_offset(offset);
  request.set_data(data);
  request.set_atomic_replace(part != ReplacementPart::kNone);
  request.set_replace_complete(part == ReplacementPart::kLast);
  return request;
}
inline proto::SetSegmentEpochRequest EpochRequest(std::uint64_t node, std::uint64_t segment,
                                                  std::uint64_t epoch) {
  auto request = SegmentRequest<proto::SetSegmentEpochRequest>(node, segment);
  request.set_epoch(epoch);
  return request;
}
inline proto::CloseSegmentRequest CloseRequest(std::uint64_t node, std::uint64_t segment,
                                               std::uint64_t length) {
  auto request = SegmentRequest<proto::CloseSegmentRequest>(node, segment);
  request.set_length(length);
  return request;
}

}  // namespace cloverbank

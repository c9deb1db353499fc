#pragma once
/// @file
/// Encoding of log entries in a segment, shared by the queue nodes that write them and the backups
/// that store them. Each entry is framed as 4 bytes little-endian length of the serialized
/// `proto::LogEntry`, 8 bytes little-endian XXH3 of those bytes seeded with the segment id, then
/// the bytes. A length of zero marks the end of the segment, because reserved space that was never
/// written reads as zero; therefore no entry may be empty.
///
/// Source: RAMCloud page "Backup", log entries and their checksums. Pure functions; any thread.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "proto/log.pb.h"
#include "storage/record_file.h"

namespace cloverbank {

/// @return the size in bytes of `entry` in a segment, framing included.
std::size_t FramedEntryBytes(const proto::LogEntry& entry);

/// Appends the framed `entry` to `out`. @return the number of bytes added.
std::size_t AppendEntry(std::string* out, SegmentId segment, const proto::LogEntry& entry);

/// @return the framed entries at the start of a segment: its header, then the digest, which lists
/// the live segments of the log.
std::string EncodeSegmentStart(NodeId owner, SegmentId segment,
                               const std::vector<SegmentId>& digest);

/// @return the segment ids of the log digest in `bytes`; empty if there is none.
std::vector<std::uint64_t> FindLogDigest(SegmentId segment, std::string_view bytes);

/// Iterates over the entries of a segment from its start and stops at the first incomplete or
/// damaged one. The bytes must outlive the reader.
class SegmentReader {
 public:
  SegmentReader(SegmentId segment, std::string_view bytes) : records_(bytes, segment.value()) {}

  /// Reads the next entry into `entry`. @return false if there is none; `tail()` then says why.
  bool Next(proto::LogEntry* entry);
  /// Like `Next`, but only checks the entry's checksum and sets `serialized` to its undecoded
  /// bytes, which belong to the segment's bytes.
  bool NextBytes(std::string_view* serialized);

  /// @return the length in bytes of the complete, checked entries read so far.
  std::size_t valid_length() const { return valid_length_; }
  /// @return what follows at `valid_length()`. Requires that `Next` or `NextBytes` returned false.
  RecordTail tail() const { return undecodable_ ? RecordTail::kCorrupt : records_.tail(); }

 private:
  RecordReader records_;
  std::size_t valid_length_ = 0;
  bool undecodable_ = false;  ///< An entry with a valid checksum is not a `proto::LogEntry`.
};

/// The result of `ScanSegment`.
struct SegmentScan {
  std::size_t valid_length = 0;  ///< Of the complete, checked entries, in bytes.
  std::size_t entry_count = 0;
  RecordTail tail = RecordTail::kClean;
};

/// Checks the checksum of every entry without decoding it.
SegmentScan ScanSegment(SegmentId segment, std::string_view bytes);

}  // namespace cloverbank

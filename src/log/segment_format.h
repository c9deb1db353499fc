#pragma once
/// @file
/// How log entries lie in a segment, shared by the queue nodes that write them and the backups that
/// keep them. Each entry is framed as 4 bytes little-endian length of the serialized
/// `proto::LogEntry`, 8 bytes little-endian XXH3 of those bytes seeded with the segment id, then
/// the bytes. A length of zero ends the segment, because reserved, unwritten space reads as zero;
/// so no entry is empty.
///
/// Source: RAMCloud page "Backup", log entries and their checksums. Pure functions; any thread.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// Bytes of length and checksum before each entry.
inline constexpr std::size_t kEntryFrameBytes = 12;

/// @return the bytes that `entry` takes in a segment.
std::size_t FramedEntryBytes(const proto::LogEntry& entry);

/// Appends the framed `entry` to `out`. @return the bytes added; 0 (and nothing added) for an entry
/// with no field set, which can not be told from the end of the segment.
std::size_t AppendEntry(std::string* out, SegmentId segment, const proto::LogEntry& entry);

/// Why a `SegmentReader` stopped.
enum class SegmentEnd : std::uint8_t {
  kNotReached,  ///< There may be more entries.
  kBytesEnd,    ///< The bytes end right after the last entry.
  kZeroLength,  ///< A zero length follows the last entry: unwritten space.
  kTorn,        ///< The last entry reaches over the end of the bytes.
  kCorrupt,     ///< An entry's checksum or encoding is wrong.
};

/// @return a stable lower-case name, for logs and tools.
std::string_view SegmentEndName(SegmentEnd end);

/// Walks the entries of a segment's bytes from its start and stops at the first one that is not
/// whole. The bytes must outlive the reader.
class SegmentReader {
 public:
  SegmentReader(SegmentId segment, std::string_view bytes) : segment_(segment), bytes_(bytes) {}

  /// Reads the next entry into `entry`. @return false at the end; `end()` then says why.
  bool Next(proto::LogEntry* entry);
  /// Like `Next`, but only checks the entry's checksum and gives its serialized bytes.
  bool NextBytes(std::string_view* serialized);

  /// @return the length of the whole, checked entries read so far, from the segment's start.
  std::size_t valid_length() const { return position_; }
  SegmentEnd end() const { return end_; }

 private:
  bool Stop(SegmentEnd end);

  SegmentId segment_;
  std::string_view bytes_;
  std::size_t position_ = 0;
  SegmentEnd end_ = SegmentEnd::kNotReached;
};

/// What a walk over a whole segment found.
struct SegmentScan {
  std::size_t valid_length = 0;  ///< Bytes of whole, checked entries.
  std::size_t entry_count = 0;
  SegmentEnd end = SegmentEnd::kNotReached;
};

/// Checks every entry's checksum. Does not decode entries.
SegmentScan ScanSegment(SegmentId segment, std::string_view bytes);

}  // namespace cloverbank

#pragma once
/// @file
/// Shows segment files to people: `cloverbank segment print|check FILE`. Only reads; works on a
/// copy of a file and on one in use, whose tail may be half written.
///
/// Pure functions; any thread.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backup/segment_file.h"
#include "storage/record_file.h"

namespace cloverbank {

/// What a check of a segment file found.
struct SegmentFileCheck {
  std::optional<ReplicaHeader> header;  ///< Absent if no header slot is valid.
  std::size_t valid_length = 0;         ///< Bytes of complete, checked entries.
  std::size_t entry_count = 0;
  RecordTail tail = RecordTail::kClean;  ///< What follows them.
  std::vector<std::uint64_t> digest;     ///< Segment ids of its log digest.
  Status status;  ///< OK if a backup would offer the file's contents; else why not.
};

/// @param file the content of the file.
SegmentFileCheck CheckSegmentFile(std::string_view file);

/// @return the file as text: a line for the header, one for each entry (offset, bytes, partition,
/// sequence, kind, shortened content), and one for what ends them.
std::string PrintSegmentFile(std::string_view file);

}  // namespace cloverbank

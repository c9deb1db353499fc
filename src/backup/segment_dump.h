#pragma once
/// @file
/// Checks and prints segment files for operators: `cloverbank segment print|check FILE`. The
/// functions only read; the file may be a copy or a file in use, whose last entry may be
/// incomplete.
///
/// Pure functions; call from any thread.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backup/segment_file.h"
#include "storage/record_file.h"

namespace cloverbank {

/// Result of the check of a segment file.
struct SegmentFileCheck {
  std::optional<ReplicaHeader> header;  ///< Absent if no header slot is valid.
  std::size_t valid_length = 0;         ///< Bytes of the valid entries, from the first on.
  std::size_t entry_count = 0;
  RecordTail tail = RecordTail::kClean;  ///< What follows the valid entries.
  std::vector<std::uint64_t> digest;     ///< Segment ids in its log digest.
  Status status;  ///< OK if a backup would offer the file's contents, otherwise why not.
};

/// Checks the header and the entries of a segment file.
/// @param file the whole content of the file.
SegmentFileCheck CheckSegmentFile(std::string_view file);

/// @param file the whole content of the file.
/// @return the file as text: one line for the header, one for each entry (offset, size in bytes,
/// partition, sequence, kind, content cut to 160 bytes), and one for what follows the last entry
/// and the result of the check. If no header slot is valid, only the error.
std::string PrintSegmentFile(std::string_view file);

}  // namespace cloverbank

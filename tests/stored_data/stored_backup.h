#pragma once
/// @file
/// The expected content of `tests/data/335d412/backup`, which release 335d412 wrote, and the backup
/// calls that write it.

#include <map>
#include <string>
#include <vector>

#include "backup/backup_world.h"
#include "log_format/segment_format.h"

namespace cloverbank::stored_data {

/// Node id of the queue node that owns the log; not fenced when the data was written.
inline constexpr std::uint64_t kOwner = 9;
/// Node id of a queue node that was fenced before the log of `kOwner` was written.
inline constexpr std::uint64_t kFencedOwner = 7;
inline constexpr std::uint64_t kClosedSegment = 1;
inline constexpr std::uint64_t kOpenSegment = 2;
inline constexpr std::uint64_t kFencedSegment = 4;
inline constexpr std::uint64_t kOpenEpoch = 3;

/// @return the log entries of `segment` after its header and digest, in order; none for a segment
/// other than `kClosedSegment` and `kOpenSegment`. They include batches with results, a cancelled
/// batch, a removed batch and partition watermarks.
std::vector<proto::LogEntry> SegmentEntries(std::uint64_t segment);

/// @return all bytes of a segment of the queue node `owner`, as the queue node sends them.
std::string SegmentBytes(std::uint64_t owner, std::uint64_t segment);

/// Writes the whole content by calls to `backup`.
void WriteBackupData(BackupWorld& backup);

}  // namespace cloverbank::stored_data

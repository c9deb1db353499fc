#pragma once
/// @file
/// The content of the stored backup data: what release 335d412 was told to write into
/// `tests/data/335d412/backup`, and the calls that write it.

#include <map>
#include <string>
#include <vector>

#include "backup/backup_world.h"
#include "log_format/segment_format.h"

namespace cloverbank::stored_data {

/// The queue node whose log it is; alive when the data was written.
inline constexpr std::uint64_t kOwner = 9;
/// A queue node that was fenced before the data was written.
inline constexpr std::uint64_t kFencedOwner = 7;
inline constexpr std::uint64_t kClosedSegment = 1;
inline constexpr std::uint64_t kOpenSegment = 2;
inline constexpr std::uint64_t kFencedSegment = 4;
inline constexpr std::uint64_t kOpenEpoch = 3;

/// @return the log entries of `segment` after its header and digest, in order: several batches with
/// results, a cancelled batch, a removed one, and partition records.
std::vector<proto::LogEntry> EntriesOfSegment(std::uint64_t segment);

/// @return all bytes of `segment` of `owner` as a queue node sends them.
std::string BytesOfSegment(std::uint64_t owner, std::uint64_t segment);

/// Writes everything through the calls of a backup.
void WriteBackupData(BackupWorld& backup);

}  // namespace cloverbank::stored_data

#pragma once
/// @file
/// Handling of a replica that failed a check: it is counted, logged and never offered to a recovery
/// or repair again.
///
/// Threads: call on the owner's event loop only.

#include <cstdint>
#include <string_view>

#include "backup/segment_store.h"
#include "base/status.h"
#include "runtime/environment.h"

namespace cloverbank {

/// The check that found a replica corrupt.
enum class CorruptionFoundBy : std::uint8_t {
  kLoad,      ///< Reading the disk at start-up.
  kRead,      ///< A ReadSegment call.
  kRecovery,  ///< StartReadingData or GetRecoveryData.
  kScrub,     ///< The scrubber.
};

/// @return the value of the label `found_by` in logs and metrics.
std::string_view CorruptionFoundByName(CorruptionFoundBy found_by);

/// Counts and logs a corrupt replica, without changing any state.
/// @param file name of the segment file, for the log.
/// @param reason what the check found, for the log.
void ReportCorruptReplica(Environment& environment, std::string_view file,
                          CorruptionFoundBy found_by, std::string_view reason);

/// Marks the replica of `key` as corrupt in `store`, so that it is never offered again, and reports
/// it.
void DropCorruptReplica(Environment& environment, SegmentStore& store, const ReplicaKey& key,
                        CorruptionFoundBy found_by, const Status& reason);

}  // namespace cloverbank

#pragma once
/// @file
/// What happens when a replica fails its check: it is counted and logged, and never offered again.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <string_view>

#include "backup/segment_store.h"
#include "base/status.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Which check found a corrupt replica.
enum class CorruptionFoundBy : std::uint8_t {
  kLoad,      ///< Reading the disk at start-up.
  kRead,      ///< A ReadSegment call.
  kRecovery,  ///< StartReadingData or GetRecoveryData.
  kScrub,     ///< The scrubber.
};

/// @return the label value for logs and metrics.
std::string_view CorruptionFoundByName(CorruptionFoundBy found_by);

/// Counts and logs a corrupt replica. @param file its name in the log.
void ReportCorruptReplica(Environment& environment, std::string_view file,
                          CorruptionFoundBy found_by, std::string_view reason);

/// Takes the replica out of every offer and reports it.
void DropCorruptReplica(Environment& environment, SegmentStore& store, const ReplicaKey& key,
                        CorruptionFoundBy found_by, const Status& reason);

}  // namespace cloverbank

#pragma once
/// @file
/// Reads and checks the bytes of a replica. A closed replica is read from disk, so that only one
/// segment at a time is in memory; an open one from its staging buffer, if it has one.
///
/// Threads: call on the owner's event loop only; reads are synchronous.

#include <string>
#include <string_view>

#include "backup/segment_store.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// @return the bytes of all entries that are complete and match their checksums; kCorrupt if there
/// are fewer such bytes than the replica's header records, or if the file cannot be read.
Result<std::string> ReadReplica(DataFolder& folder, const Replica& replica);

/// Appends those entries in `bytes` that belong to the partitions of `request` to `response`, in
/// order.
/// @return kCorrupt if an entry cannot be decoded; `response` then holds the entries before it.
Status FilterEntries(SegmentId segment, std::string_view bytes,
                     const proto::GetRecoveryDataRequest& request,
                     proto::GetRecoveryDataResponse* response);

}  // namespace cloverbank

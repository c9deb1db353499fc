#pragma once
/// @file
/// Reads the bytes of a replica and checks them: of a closed replica from disk, so that memory has
/// one segment at a time; of an open one from its staging buffer.
///
/// Threads: the owner's event loop only (reads are synchronous).

#include <string>
#include <string_view>

#include "backup/segment_store.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// @return the bytes of complete, checked entries. kCorrupt if there are fewer than the header
/// records, or the file can not be read.
Result<std::string> ReadReplica(DataFolder& folder, const Replica& replica);

/// Appends the entries in `bytes` of the request's partitions to `response`, in order. kCorrupt if
/// an entry can not be decoded.
Status FilterEntries(SegmentId segment, std::string_view bytes,
                     const proto::GetRecoveryDataRequest& request,
                     proto::GetRecoveryDataResponse* response);

}  // namespace cloverbank

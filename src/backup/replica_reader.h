#pragma once
/// @file
/// Reads a replica's bytes back and checks them. Closed replicas are read from disk, so that memory
/// holds one segment at a time; open ones from their staging buffer.
///
/// Threads: the owner's event loop only (reads are synchronous).

#include <string>
#include <string_view>

#include "backup/segment_store.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// @return the bytes of whole, checked entries. kCorrupt if a closed or sealed replica has fewer
/// than its recorded length (also when its file is gone or can not be read).
Result<std::string> ReadReplica(DataFolder& folder, const Replica& replica);

/// Appends the entries of `partitions` in `bytes` to `response`, in order. kCorrupt if an entry can
/// not be decoded.
Status FilterEntries(SegmentId segment, std::string_view bytes,
                     const proto::GetRecoveryDataRequest& request,
                     proto::GetRecoveryDataResponse* response);

}  // namespace cloverbank

#pragma once
/// @file
/// Rebuilds a backup's state from its disk at startup.
///
/// Threads: call on the owner's event loop only, before the backup serves calls.

#include <vector>

#include "backup/segment_store.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// Adds every replica found in `folder` to `store`, which must already know the fences. The content
/// of an open replica ends before the first bad entry, as after a torn write. A replica with fewer
/// valid bytes than its header records is kept as corrupt and never offered.
/// @return the keys of files that were left by an open that did not finish (these files hold no
/// data and can be removed), or the error of listing the segment folder.
Result<std::vector<ReplicaKey>> LoadSegments(Environment& environment, DataFolder& folder,
                                             SegmentStore& store);

}  // namespace cloverbank

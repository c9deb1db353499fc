#pragma once
/// @file
/// Rebuilds a backup's state from its disk at start-up.
///
/// Threads: the owner's event loop only, before it serves.

#include <vector>

#include "backup/segment_store.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// Adds every replica found in `folder` to `store`, which knows the fences already. Torn tails of
/// open replicas are cut at the first bad entry; a closed or sealed replica that is shorter than
/// its recorded length is kept as corrupt and never offered.
/// @return the keys of files that an unfinished open left: they hold nothing and can be removed.
Result<std::vector<ReplicaKey>> LoadSegments(Environment& environment, DataFolder& folder,
                                             SegmentStore& store);

}  // namespace cloverbank

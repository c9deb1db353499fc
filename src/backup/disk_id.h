#pragma once
/// @file
/// The id of a backup's disk: the same over restarts, another one after the disk was lost.
///
/// Threads: the owner's event loop only.

#include <string>

#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// @return the id stored in `folder`, or a new random one (hexadecimal digits), which is written
/// later. Should that write be lost, the disk counts as another one after the next start.
std::string LoadOrCreateDiskId(Environment& environment, DataFolder& folder);

}  // namespace cloverbank

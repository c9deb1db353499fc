#pragma once
/// @file
/// The id of a backup's disk. It stays the same over restarts; a disk that lost its data gets a new
/// one.
///
/// Threads: call on the owner's event loop only.

#include <string>

#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// @return the id stored in `folder`. If none can be read, a new random one (hexadecimal digits),
/// which is written to `folder` asynchronously: if that write is lost, the next start creates
/// another id, as for a new disk.
std::string LoadOrCreateDiskId(Environment& environment, DataFolder& folder);

}  // namespace cloverbank

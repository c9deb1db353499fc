#pragma once
/// @file
/// One queued change of one file, used by the real and the simulated data folder.

#include <cstdint>
#include <string>

#include "base/status.h"

namespace cloverbank {

struct FileOperation {
  enum class Kind : std::uint8_t { kAppend, kWriteAt, kReplace, kTruncate, kReserve, kRemove };
  Kind kind = Kind::kAppend;
  std::uint64_t position = 0;  ///< Offset for kWriteAt; size for kTruncate and kReserve.
  std::string bytes;           ///< Data of kAppend, kWriteAt and kReplace.
};

/// @return the status of every operation on the file `name` after one of its syncs has failed.
inline Status FailedFileStatus(const std::string& name) {
  return {StatusCode::kIoError,
          "an earlier sync of " + name + " failed; the file takes no more operations"};
}

}  // namespace cloverbank

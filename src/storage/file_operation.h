#pragma once
/// @file
/// One change of one file, as both data folders queue it.

#include <cstdint>
#include <string>

#include "base/status.h"

namespace cloverbank {

struct FileOperation {
  enum class Kind : std::uint8_t { kAppend, kWriteAt, kReplace, kTruncate, kReserve, kRemove };
  Kind kind = Kind::kAppend;
  std::uint64_t position = 0;  ///< Offset of kWriteAt; size of kTruncate and kReserve.
  std::string bytes;           ///< Of kAppend, kWriteAt and kReplace.
};

/// What every operation on a file gets once one of its syncs has failed.
inline Status FailedFileStatus(const std::string& name) {
  return {StatusCode::kIoError, "an earlier sync of " + name + " failed; it takes no more writes"};
}

}  // namespace cloverbank

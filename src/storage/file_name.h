#pragma once
/// @file
/// Rules for the names of files in a `DataFolder`, shared by the real and the simulated folder.

#include <string>
#include <string_view>
#include <utility>

#include "base/status.h"

namespace cloverbank {

/// Suffix of the temporary files that `DataFolder::Replace` writes. It is reserved: files with it
/// are never listed, and opening the folder removes them.
inline constexpr std::string_view kTemporarySuffix = ".replacing";

/// Checks a file name. It may contain one '/'; each part must not be empty, must not begin with '.'
/// (reserved for the folder's own files), must not end with `kTemporarySuffix` and must not contain
/// a zero byte.
/// @return kInvalidArgument if `name` breaks one of these rules.
Status CheckFileName(std::string_view name);

/// @return the folder ("" for the top folder) and the name within it of a valid file name.
std::pair<std::string, std::string> SplitFileName(std::string_view name);

}  // namespace cloverbank

#pragma once
/// @file
/// Names of files in a `DataFolder`, the same rules in the real and the simulated one.

#include <string>
#include <string_view>
#include <utility>

#include "base/status.h"

namespace cloverbank {

/// End of the names of half-written replacements; reserved, never listed, removed at opening.
inline constexpr std::string_view kTemporarySuffix = ".replacing";

/// A name may hold one '/'; each part is not empty, does not begin with '.' (reserved for the
/// folder's own files) and does not end with `kTemporarySuffix`. @return kInvalidArgument
/// otherwise.
Status CheckFileName(std::string_view name);

/// @return folder ("" for the top) and bare name of a checked file name.
std::pair<std::string, std::string> SplitFileName(std::string_view name);

}  // namespace cloverbank

#pragma once
/// @file
/// Query parameters that several adapters read in the same way. Pure.

#include <cstdint>

#include "base/status.h"
#include "net/http_types.h"

namespace cloverbank {

/// Bounds of a `limit` parameter.
struct LimitRange {
  std::uint32_t default_limit = 0;  ///< When it is not given.
  std::uint32_t maximum = 0;
};

/// @return the `limit` parameter, or kInvalidArgument saying what is expected.
Result<std::uint32_t> ParseLimit(const HttpHeaders& query, LimitRange range);

/// @return the status of a failed read: nothing was changed, so an unknown outcome becomes
/// kUnavailable.
Status ToReadFailure(const Status& status);

}  // namespace cloverbank

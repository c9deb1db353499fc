#pragma once
/// @file
/// Query parameters and read failures that several adapters handle in the same way. Pure.

#include <cstdint>

#include "base/status.h"
#include "net/http_types.h"

namespace cloverbank {

/// Bounds of a `limit` parameter.
struct LimitRange {
  std::uint32_t default_limit = 0;  ///< Used if the parameter is missing.
  std::uint32_t maximum = 0;
};

/// @return the `limit` parameter (from 1 to the maximum) or its default; else kInvalidArgument,
/// with the value found and the range expected.
Result<std::uint32_t> ParseLimit(const HttpHeaders& query, LimitRange range);

/// @return the status to report for a failed read: kUnknownOutcome becomes kUnavailable, since a
/// read changes nothing.
Status ToReadFailure(const Status& status);

}  // namespace cloverbank

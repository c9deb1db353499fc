#pragma once
/// @file
/// Percent encoding and decoding of request targets (RFC 3986 section 2.1). Pure functions;
/// thread-safe.

#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace cloverbank {

/// A request target, split and percent-decoded.
struct RequestTarget {
  std::string path;
  HttpHeaders query;
};

/// @return the decoded path and query of a target like "/a%20b?c=d"; std::nullopt if it is not in
/// well-formed origin form.
std::optional<RequestTarget> ParseRequestTarget(std::string_view target);

/// @return the percent-encoded target; the inverse of `ParseRequestTarget`.
std::string FormatRequestTarget(std::string_view path, const HttpHeaders& query);

}  // namespace cloverbank

#pragma once
/// @file
/// Percent encoding of request targets (RFC 3986 section 2.1).

#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace cloverbank {

/// A request target, split and decoded.
struct RequestTarget {
  std::string path;
  HttpHeaders query;
};

/// @return path and query of "/a%20b?c=d", decoded; nothing if it is not a well-formed origin form.
std::optional<RequestTarget> ParseRequestTarget(std::string_view target);

/// @return the encoded target; the inverse of `ParseRequestTarget`.
std::string FormatRequestTarget(std::string_view path, const HttpHeaders& query);

}  // namespace cloverbank

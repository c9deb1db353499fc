#pragma once
/// @file
/// Selects the headers that a proxy forwards with a message. Pure functions; thread-safe.
///
/// Source: RFC 9110 section 7.6.1 (Connection), RFC 9112 section 6 (message body length).

#include <initializer_list>
#include <string_view>

#include "net/http_types.h"

namespace cloverbank {

/// @return `headers` without the hop-by-hop headers, Content-Length, those that "Connection" lists,
/// and `additional_names` (in any case).
HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            std::initializer_list<std::string_view> additional_names);

}  // namespace cloverbank

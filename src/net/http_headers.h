#pragma once
/// @file
/// Which headers of a message go along when it is passed on. Pure.
///
/// Source: RFC 9110 section 7.6.1 (Connection), RFC 9112 section 6 (message body length).

#include <initializer_list>
#include <string_view>

#include "net/http_types.h"

namespace cloverbank {

/// Whether two header names, or hosts, are the same.
bool EqualIgnoringCase(std::string_view left, std::string_view right);

/// @return the headers without those that concern one connection only, those that "Connection"
/// names, and `additional_names` (any case).
HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            std::initializer_list<std::string_view> additional_names);

}  // namespace cloverbank

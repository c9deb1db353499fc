#pragma once
/// @file
/// Conversions between the HTTP types of http_types.h and those of Beast. Internal to net/. Pure.

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

#include "net/http_types.h"

namespace cloverbank {

/// @return all headers of `fields`, in order.
HttpHeaders ToHttpHeaders(const boost::beast::http::fields& fields);

/// Adds `headers` to `fields`. Skips headers that would corrupt the message (control characters)
/// and those that the transport sets itself (Connection, Content-Length, Transfer-Encoding).
void AddHeaders(const HttpHeaders& headers, boost::beast::http::fields* fields);

/// @return the serialized status line and headers of a response.
std::string SerializeResponseHead(const boost::beast::http::response_header<>& head);

}  // namespace cloverbank

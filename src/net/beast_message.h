#pragma once
/// @file
/// Conversions between this project's HTTP types and Beast's. Internal to net/.

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

#include "net/http_types.h"

namespace cloverbank {

/// @return all headers, in order.
HttpHeaders ToHttpHeaders(const boost::beast::http::fields& fields);

/// Adds `headers` to `fields`. Headers that would break the message (control characters) or that
/// the transport sets itself (Connection, Content-Length, Transfer-Encoding) are left out.
void AddHeaders(const HttpHeaders& headers, boost::beast::http::fields* fields);

/// @return the bytes of a response's head.
std::string SerializeResponseHead(const boost::beast::http::response_header<>& head);

}  // namespace cloverbank

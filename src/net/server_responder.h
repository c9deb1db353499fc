#pragma once
/// @file
/// The `HttpResponder` of one request on a `ServerConnection`. Internal to net/.

#include <memory>

#include "net/http_types.h"

namespace cloverbank {

class ServerConnection;

/// @return a responder for request number `request_number` of `connection`. If it is destroyed
/// without a complete response, the server sends 500 if nothing was sent, and closes the connection
/// otherwise.
std::shared_ptr<HttpResponder> MakeServerResponder(std::shared_ptr<ServerConnection> connection,
                                                   std::uint64_t request_number);

}  // namespace cloverbank

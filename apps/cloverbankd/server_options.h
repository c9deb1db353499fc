#pragma once
/// @file
/// Bounds of the daemon's two servers.

#include "net/beast_http_server.h"
#include "settings/settings.h"

namespace cloverbank {

/// Largest message between peers: a whole segment and what frames it.
inline constexpr std::uint64_t kMaximumPeerBodyBytes = 96ULL << 20U;

HttpServerOptions ClientServerOptions(const Settings& settings);
HttpServerOptions PeerServerOptions(const Settings& settings);

}  // namespace cloverbank

#pragma once
/// @file
/// Options and limits of the daemon's HTTP servers and of its outgoing calls.

#include "net/beast_http_client.h"
#include "net/beast_http_server.h"
#include "settings/settings.h"

namespace cloverbank {

/// Largest message between peers: a complete segment with its framing.
inline constexpr std::uint64_t kMaximumPeerBodyBytes = 96ULL << 20U;

HttpServerOptions ClientServerOptions(const Settings& settings);
/// @return the options of the front interface's server at `listen`.
HttpServerOptions FrontServerOptions(const Settings& settings, const Endpoint& listen);
HttpServerOptions PeerServerOptions(const Settings& settings);
HttpClientOptions OutgoingCallOptions(const Settings& settings);

}  // namespace cloverbank

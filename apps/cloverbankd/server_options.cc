#include "cloverbankd/server_options.h"

#include <sys/resource.h>

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::uint64_t kMaximumClientBodyBytes = 16ULL << 20U;
constexpr std::size_t kMaximumConnections = 4096;
/// Peers close connections that they did not use for 15 s. A connection that is idle for longer
/// belongs to a peer that has ended or cannot be reached.
constexpr Duration kPeerIdleTimeout = seconds(20);
/// Each use may take at most the process's limit of file descriptors divided by its divisor. With
/// one server for callers, one for peers and three minor ones, a sixteenth is left for files and
/// for calls in flight other than those that peers answer.
constexpr std::size_t kClientServerDivisor = 4;
constexpr std::size_t kPeerServerDivisor = 4;
constexpr std::size_t kMinorServerDivisor = 16;
constexpr std::size_t kIdleOutgoingDivisor = 8;

/// @return the connections that a use with this divisor may hold, at most `kMaximumConnections`.
std::size_t DescriptorShare(std::size_t divisor) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return kMaximumConnections;
  }
  return std::min<std::size_t>(kMaximumConnections, limit.rlim_cur / divisor);
}

}  // namespace

HttpServerOptions ClientServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.client;
  // Where there are front interfaces, this one is for operators and tools only.
  const bool for_callers = !settings.front_calls.valid();
  options.maximum_connections =
      DescriptorShare(for_callers ? kClientServerDivisor : kMinorServerDivisor);
  options.maximum_body_bytes = kMaximumClientBodyBytes;
  return options;
}

HttpServerOptions FrontServerOptions(const Settings& settings, const Endpoint& listen) {
  HttpServerOptions options = ClientServerOptions(settings);
  options.listen = listen;
  const bool for_callers = listen == settings.front_calls;
  options.maximum_connections =
      DescriptorShare(for_callers ? kClientServerDivisor : kMinorServerDivisor);
  return options;
}

HttpServerOptions PeerServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.peer;
  options.maximum_connections = DescriptorShare(kPeerServerDivisor);
  options.idle_timeout = kPeerIdleTimeout;
  options.maximum_body_bytes = kMaximumPeerBodyBytes;
  return options;
}

HttpClientOptions OutgoingCallOptions(const Settings& settings) {
  HttpClientOptions options;
  options.local_address = settings.peer.host;
  options.maximum_body_bytes = kMaximumPeerBodyBytes;
  options.maximum_idle = DescriptorShare(kIdleOutgoingDivisor);
  return options;
}

}  // namespace cloverbank

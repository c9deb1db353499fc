#include "cloverbankd/server_options.h"

#include <sys/resource.h>

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::uint64_t kMaximumClientBodyBytes = 16ULL << 20U;
constexpr std::size_t kWantedConnections = 4096;
/// Peers close connections that they did not use for 15 s. What is idle for longer belongs to one
/// that is gone or can not be heard.
constexpr Duration kPeerIdleTimeout = seconds(20);
/// Parts of the process's file descriptors that each use may take at most. With one server for
/// callers, one for peers and three lesser ones, a sixteenth is left to files and to calls under
/// way beside those that peers answer.
constexpr std::size_t kClientServerDivisor = 4;
constexpr std::size_t kPeerServerDivisor = 4;
constexpr std::size_t kMinorServerDivisor = 16;
constexpr std::size_t kIdleOutgoingDivisor = 8;

std::size_t DescriptorsOver(std::size_t divisor) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return kWantedConnections;
  }
  return std::min<std::size_t>(kWantedConnections, limit.rlim_cur / divisor);
}

}  // namespace

HttpServerOptions ClientServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.client;
  // Where there are front interfaces, this one is for operators and tools only.
  const bool for_callers = !settings.front_calls.valid();
  options.maximum_connections =
      DescriptorsOver(for_callers ? kClientServerDivisor : kMinorServerDivisor);
  options.maximum_body_bytes = kMaximumClientBodyBytes;
  return options;
}

HttpServerOptions FrontServerOptions(const Settings& settings, const Endpoint& listen) {
  HttpServerOptions options = ClientServerOptions(settings);
  options.listen = listen;
  const bool for_callers = listen == settings.front_calls;
  options.maximum_connections =
      DescriptorsOver(for_callers ? kClientServerDivisor : kMinorServerDivisor);
  return options;
}

HttpServerOptions PeerServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.peer;
  options.maximum_connections = DescriptorsOver(kPeerServerDivisor);
  options.idle_timeout = kPeerIdleTimeout;
  options.maximum_body_bytes = kMaximumPeerBodyBytes;
  return options;
}

HttpClientOptions OutgoingCallOptions(const Settings& settings) {
  HttpClientOptions options;
  options.local_address = settings.peer.host;
  options.maximum_body_bytes = kMaximumPeerBodyBytes;
  options.maximum_idle = DescriptorsOver(kIdleOutgoingDivisor);
  return options;
}

}  // namespace cloverbank

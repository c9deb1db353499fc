#include "cloverbankd/server_options.h"

#include <sys/resource.h>

#include <algorithm>

namespace cloverbank {
namespace {

constexpr std::uint64_t kMaximumClientBodyBytes = 16ULL << 20U;
constexpr std::size_t kWantedConnections = 4096;
/// Each server may take this part of the process's file descriptors; the rest is left to outgoing
/// connections and files.
constexpr std::size_t kDescriptorShare = 4;

std::size_t MaximumConnections() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return kWantedConnections;
  }
  return std::min<std::size_t>(kWantedConnections, limit.rlim_cur / kDescriptorShare);
}

}  // namespace

HttpServerOptions ClientServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.client;
  options.maximum_connections = MaximumConnections();
  options.maximum_body_bytes = kMaximumClientBodyBytes;
  return options;
}

HttpServerOptions PeerServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.peer;
  options.maximum_connections = MaximumConnections();
  options.maximum_body_bytes = kMaximumPeerBodyBytes;
  return options;
}

}  // namespace cloverbank

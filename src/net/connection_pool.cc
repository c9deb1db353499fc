#include "net/connection_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace cloverbank {
namespace {

/// @return whether the peer has neither closed the connection nor sent unsolicited bytes.
bool IsReusable(ClientConnection& connection) {
  char byte = 0;
  const ssize_t received =
      recv(connection.socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::unique_ptr<ClientConnection> ConnectionPool::Take(const Endpoint& endpoint) {
  const auto entry = idle_.find(endpoint);
  if (entry == idle_.end()) {
    return nullptr;
  }
  auto& connections = entry->second;
  std::unique_ptr<ClientConnection> taken;
  while (!connections.empty() && !taken) {
    taken = std::move(connections.back());
    connections.pop_back();
    const bool expired = EventLoop::Now() - taken->idle_since >= idle_timeout_;
    if (expired || !IsReusable(*taken)) {
      taken.reset();
    }
  }
  if (connections.empty()) {
    idle_.erase(entry);
  }
  return taken;
}

void ConnectionPool::Put(const Endpoint& endpoint, std::unique_ptr<ClientConnection> connection) {
  if (size() >= maximum_idle_) {
    return;
  }
  auto& connections = idle_[endpoint];
  connection->idle_since = EventLoop::Now();
  connection->reused = true;
  connections.push_back(std::move(connection));
  if (connections.size() > maximum_idle_per_endpoint_) {
    connections.pop_front();
  }
}

void ConnectionPool::Sweep() {
  const TimePoint oldest = EventLoop::Now() - idle_timeout_;
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& connections = entry->second;
    while (!connections.empty() && connections.front()->idle_since <= oldest) {
      connections.pop_front();
    }
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

std::size_t ConnectionPool::size() const {
  std::size_t total = 0;
  for (const auto& [endpoint, connections] : idle_) {
    total += connections.size();
  }
  return total;
}

void HttpClientShared::ReturnToPool(const Endpoint& endpoint,
                                    std::unique_ptr<ClientConnection> connection) {
  pool.Put(endpoint, std::move(connection));
  if (sweep_timer == 0) {
    ScheduleSweep();
  }
}

void HttpClientShared::ScheduleSweep() {
  sweep_timer = loop.ScheduleAfter(options.idle_timeout, [weak = weak_from_this()] {
    const auto shared = weak.lock();
    if (!shared) {
      return;
    }
    shared->sweep_timer = 0;
    shared->pool.Sweep();
    if (shared->pool.size() > 0) {
      shared->ScheduleSweep();
    }
  });
}

}  // namespace cloverbank

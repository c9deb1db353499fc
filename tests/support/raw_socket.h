#pragma once
/// @file
/// Blocking TCP sockets, for tests whose peers violate the protocol or send a request in parts.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace cloverbank {

inline sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

/// Owns a blocking TCP socket.
class RawSocket {
 public:
  explicit RawSocket(int descriptor) : descriptor_(descriptor) {}
  ~RawSocket() { close(descriptor_); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  int descriptor() const { return descriptor_; }
  void Send(std::string_view bytes) const {
    EXPECT_EQ(send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  /// Reads until the received bytes contain `end` (if not empty) or the peer closes the connection.
  /// @return all bytes received.
  std::string ReadUntil(std::string_view end) const {
    std::string received;
    char bytes[4096];
    while (end.empty() || received.find(end) == std::string::npos) {
      const ssize_t size = recv(descriptor_, bytes, sizeof(bytes), 0);
      if (size <= 0) {
        break;
      }
      received.append(bytes, static_cast<std::size_t>(size));
    }
    return received;
  }

 private:
  int descriptor_;
};

/// @return a socket connected to `to`.
inline std::unique_ptr<RawSocket> RawConnect(const Endpoint& to) {
  auto raw = std::make_unique<RawSocket>(socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = ToSocketAddress(to);
  EXPECT_EQ(
      connect(raw->descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  return raw;
}

}  // namespace cloverbank

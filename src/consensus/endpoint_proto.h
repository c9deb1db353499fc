#pragma once
/// @file
/// Converts endpoints to and from their protobuf message.

#include <cstdint>

#include "base/ids.h"
#include "proto/consensus.pb.h"

namespace cloverbank {

inline Endpoint ToEndpoint(const proto::Endpoint& endpoint) {
  return {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())};
}

inline proto::Endpoint ToProto(const Endpoint& endpoint) {
  proto::Endpoint message;
  message.set_host(endpoint.host);
  message.set_port(endpoint.port);
  return message;
}

}  // namespace cloverbank

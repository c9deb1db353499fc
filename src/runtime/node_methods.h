#pragma once
/// @file
/// Peer methods that every node agent serves, and that the coordinators call.

#include <string>

#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @return the method by which the leader sends the coordinators' endpoints to that role's agent.
inline std::string UpdateCoordinatorsMethod(proto::Role role) {
  return "node.TakeCoordinators." + std::to_string(static_cast<int>(role));
}

}  // namespace cloverbank

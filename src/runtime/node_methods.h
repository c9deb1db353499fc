#pragma once
/// @file
/// Names of the peer methods that every node agent serves and the coordinators call.

#include <string>

#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @return the method with which the leader sends the coordinators' endpoints to the node agent of
/// `role`.
inline std::string UpdateCoordinatorsMethod(proto::Role role) {
  return "node.TakeCoordinators." + std::to_string(static_cast<int>(role));
}

}  // namespace cloverbank

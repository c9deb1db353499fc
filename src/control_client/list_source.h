#pragma once
/// @file
/// A gateway from which another one may request the list of replicas.

#include "base/ids.h"

namespace cloverbank {

struct ListSource {
  Endpoint endpoint;
  bool in_zone = true;  ///< In the zone of the gateway that requests.
};

}  // namespace cloverbank

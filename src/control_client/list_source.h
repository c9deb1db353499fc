#pragma once
/// @file
/// A gateway from which other gateways can request the list of replicas.

#include "base/ids.h"

namespace cloverbank {

struct ListSource {
  Endpoint endpoint;
  bool in_zone = true;  ///< Whether it is in the same zone as the requesting gateway.
};

}  // namespace cloverbank

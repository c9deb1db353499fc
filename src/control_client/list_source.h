#pragma once
/// @file
/// A gateway that another one may ask for the list of replicas.

#include "base/ids.h"

namespace cloverbank {

struct ListSource {
  Endpoint endpoint;
  bool in_zone = true;  ///< In the zone of the one that asks.
};

}  // namespace cloverbank

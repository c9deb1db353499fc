#pragma once
/// @file
/// What entitles a gateway to forward a call: its lease and the newest configuration it holds.
/// Apart from `NodeAgent` so that the data plane is tested without control.

#include "proto/configuration.pb.h"

namespace cloverbank {

class ServingPermission {
 public:
  virtual ~ServingPermission() = default;
  /// Whether the node lease holds now. Asked immediately before each forward.
  virtual bool IsValid() const = 0;
  /// The newest configuration; version 0 until the first arrives.
  virtual const proto::RoutingConfiguration& configuration() const = 0;
};

}  // namespace cloverbank

#pragma once
/// @file
/// What a gateway needs from the control plane to forward calls: a valid node lease and a
/// configuration. An interface, so that the data plane is tested without a control plane. Threads:
/// the owner's event loop only.

#include "proto/configuration.pb.h"

namespace cloverbank {

class ServingPermission {
 public:
  virtual ~ServingPermission() = default;
  /// Whether the node lease is valid now. Attempts evaluate it immediately before they send their
  /// request.
  virtual bool IsValid() const = 0;
  /// The newest configuration; version 0 until the first one was received.
  virtual const proto::RoutingConfiguration& configuration() const = 0;
};

}  // namespace cloverbank

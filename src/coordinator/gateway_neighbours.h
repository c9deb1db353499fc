#pragma once
/// @file
/// Tells a gateway which other gateways to exchange state with and from which to request the list
/// of replicas. Pure.

#include "base/ids.h"
#include "control_state/control_state.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Adds to `response` the rank of gateway `node` in its zone, its neighbours and its list sources.
/// Does nothing if `node` is not a live gateway.
void AddGatewayNeighbours(const ControlState& state, NodeId node,
                          proto::HeartbeatResponse* response);

}  // namespace cloverbank

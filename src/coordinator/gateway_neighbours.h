#pragma once
/// @file
/// Selects for a gateway the other gateways with which it exchanges state (neighbours) and those
/// from which it requests the list of replicas (list sources). Pure.

#include "base/ids.h"
#include "control_state/control_state.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Adds to `response` the number of gateways in the zone of gateway `node`, its index among them by
/// node id, its rank for each zone without gateways that it serves too, its neighbours and its list
/// sources. Does nothing if `node` is not a live gateway.
void AddGatewayNeighbours(const ControlState& state, NodeId node,
                          proto::HeartbeatResponse* response);

}  // namespace cloverbank

#include "control_client/node_session.h"

#include <algorithm>
#include <utility>

#include "control_client/coordinator_directory.h"

namespace cloverbank {
namespace {

std::vector<ListSource> ToListSources(const proto::HeartbeatResponse& response) {
  std::vector<ListSource> sources;
  for (const Endpoint& endpoint : ToEndpoints(response.list_sources())) {
    sources.push_back({endpoint, /*in_zone=*/true});
  }
  for (const Endpoint& endpoint : ToEndpoints(response.remote_list_sources())) {
    sources.push_back({endpoint, /*in_zone=*/false});
  }
  return sources;
}

/// The node's clock may run slower than the leader's, so the node shortens its lease by this
/// fraction: 1 / 100.
constexpr int kClockDriftDivisor = 100;

/// @return how long after sending a heartbeat the node may rely on the lease in its response.
Duration ComputeUsableLease(std::uint32_t lease_ms) {
  const Duration lease = milliseconds(lease_ms);
  return lease - lease / kClockDriftDivisor;
}

}  // namespace

void NodeSession::ApplyRegistration(const proto::RegisterServerResponse& response) {
  node_id_ = NodeId(response.node_id());
  partition_count_ = response.partition_count();
  lease_end_ = TimePoint();
}

void NodeSession::InvalidateNodeId() {
  if (node_id_.valid()) {
    previous_node_id_ = node_id_;
  }
  node_id_ = NodeId();
  lease_end_ = TimePoint();
}

void NodeSession::SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded) {
  free_bytes_ = free_bytes;
  open_items_ = open_items;
  degraded_ = degraded;
}

proto::HeartbeatRequest NodeSession::MakeHeartbeat(Duration hold) const {
  proto::HeartbeatRequest request;
  request.set_node_id(node_id_.value());
  request.set_incarnation(incarnation_.value());
  request.set_configuration_version(configuration_.VersionToReport().value());
  request.set_fleet_version(fleet_.VersionToReport().value());
  request.set_hold_ms(
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(hold).count()));
  for (const NodeId suspect : suspects_) {
    request.add_suspected_node_ids(suspect.value());
  }
  request.set_free_bytes(free_bytes_);
  request.set_open_items(open_items_);
  request.set_degraded(degraded_);
  return request;
}

bool NodeSession::UpdateGatewayRank(const proto::HeartbeatResponse& response) {
  if (response.zone_gateway_count() == 0) {
    return false;
  }
  GatewayRank rank{{response.zone_gateway_index(), response.zone_gateway_count()}, {}};
  for (const proto::ZoneRank& zone : response.zones_without_gateway()) {
    if (zone.gateway_index() < zone.gateway_count()) {
      rank.zones_without_gateway[zone.zone()] = {zone.gateway_index(), zone.gateway_count()};
    }
  }
  return std::exchange(gateway_rank_, rank) != rank;
}

HeartbeatEffects NodeSession::ApplyHeartbeat(const proto::HeartbeatRequest& request,
                                             const HeartbeatTimes& times,
                                             const proto::HeartbeatResponse& response) {
  HeartbeatEffects effects;
  for (const std::uint64_t suspect : request.suspected_node_ids()) {
    suspects_.erase(NodeId(suspect));
  }
  if (response.has_configuration()) {
    effects.configuration = configuration_.Apply(response.configuration());
  } else {
    configuration_.HandleNoUpdate();
  }
  if (response.has_fleet()) {
    effects.fleet = fleet_.Apply(response.fleet());
  }
  effects.rank_changed = UpdateGatewayRank(response);
  neighbours_ = ToEndpoints(response.neighbours());
  list_sources_ = ToListSources(response);
  const bool same_node_id = node_id_.valid() && NodeId(request.node_id()) == node_id_;
  if (same_node_id && effects.configuration != UpdateOutcome::kGap) {
    const TimePoint end = times.sent + ComputeUsableLease(response.lease_ms());
    effects.lease_extended = end > lease_end_;
    lease_end_ = std::max(lease_end_, end);
    const bool had_lease = last_lease_end_ != TimePoint();
    if (had_lease) {
      effects.lease_gap = std::max(Duration::zero(), times.answered - last_lease_end_);
    }
    last_lease_end_ = std::max(last_lease_end_, end);
  }
  return effects;
}

}  // namespace cloverbank

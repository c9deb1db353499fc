#pragma once
/// @file
/// State of a `NodeAgent`: the node id, its lease, and the copies of the configuration and the
/// fleet view. It creates heartbeat requests and applies their responses. Performs no I/O and reads
/// no clock.
///
/// A response renews the lease only if the copy of the configuration is then at least as new as the
/// update in the response. Otherwise a node that had been cut off by a network partition could
/// serve with an older version than one that was acknowledged to an operator in the meantime.
/// Threads: the owner's event loop only.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_client/configuration_watch.h"
#include "control_client/fleet_watch.h"
#include "control_client/list_source.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// What the response to a heartbeat changed.
struct HeartbeatEffects {
  UpdateOutcome configuration = UpdateOutcome::kUnchanged;
  UpdateOutcome fleet = UpdateOutcome::kUnchanged;
  bool lease_extended = false;
  /// How long the node had had no lease when the response arrived; zero if it had one, or if this
  /// is its first.
  Duration lease_gap{};
  bool rank_changed = false;  ///< Whether the gateway rank changed.
};

/// When the node sent a heartbeat and when its response arrived.
struct HeartbeatTimes {
  TimePoint sent;
  TimePoint answered;
};

/// Outlives fences: the copies, and the end of the last lease, carry over to the next node id.
class NodeSession {
 public:
  explicit NodeSession(Incarnation incarnation) : incarnation_(incarnation) {}

  NodeId node_id() const { return node_id_; }
  /// @return the last node id of this session that was fenced; invalid if there was none.
  NodeId previous_node_id() const { return previous_node_id_; }
  Incarnation incarnation() const { return incarnation_; }
  std::uint32_t partition_count() const { return partition_count_; }
  const GatewayRank& gateway_rank() const { return gateway_rank_; }
  const std::vector<Endpoint>& neighbours() const { return neighbours_; }
  /// @return nullopt until the first heartbeat is answered.
  const std::optional<std::vector<ListSource>>& list_sources() const { return list_sources_; }
  TimePoint lease_end() const { return lease_end_; }
  bool HasValidLease(TimePoint now) const { return node_id_.valid() && now < lease_end_; }
  const proto::RoutingConfiguration& configuration() const {
    return configuration_.configuration();
  }
  const FleetView& fleet() const { return fleet_.view(); }

  /// Applies the new node id. It has no lease until its first heartbeat is answered.
  void ApplyRegistration(const proto::RegisterServerResponse& response);
  /// Invalidates the node id and its lease.
  void InvalidateNodeId();

  /// Adds `peer` to the unresponsive peers that heartbeats report, until a response confirms the
  /// report.
  /// @return false if a report of `peer` is already pending.
  bool AddSuspect(NodeId peer) { return suspects_.insert(peer).second; }
  /// Sets the load that the following heartbeats report; see `NodeAgent::SetLoad`.
  void SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded);

  /// @return the request to send now.
  /// @param hold how long the leader may delay its response while it has no updates.
  proto::HeartbeatRequest MakeHeartbeat(Duration hold) const;
  /// Applies the response to `request`, and renews the lease if the rule above allows it.
  HeartbeatEffects ApplyHeartbeat(const proto::HeartbeatRequest& request,
                                  const HeartbeatTimes& times,
                                  const proto::HeartbeatResponse& response);

 private:
  /// @return whether the rank has changed.
  bool UpdateGatewayRank(const proto::HeartbeatResponse& response);

  Incarnation incarnation_;
  NodeId node_id_;
  NodeId previous_node_id_;
  std::uint32_t partition_count_ = 0;
  GatewayRank gateway_rank_;
  std::vector<Endpoint> neighbours_;
  std::optional<std::vector<ListSource>> list_sources_;
  TimePoint lease_end_{};
  TimePoint last_lease_end_{};  ///< Of this or any earlier node id.
  ConfigurationWatch configuration_;
  FleetWatch fleet_;
  std::set<NodeId> suspects_;
  std::uint64_t free_bytes_ = 0;
  std::uint64_t open_items_ = 0;
  bool degraded_ = false;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Pure core of `NodeAgent`: the node id of this incarnation, its lease, and the copies of
/// configuration and fleet. It makes heartbeat requests and applies their responses.
///
/// A response renews the lease only if the copy of the configuration is then at least as new as the
/// one offered with it: otherwise a node that was partitioned could serve by a version older than
/// one acknowledged meanwhile. Threads: the owner's event loop only.

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
  /// How long there had been no lease when this one began; zero if there was one, or if this is the
  /// first.
  Duration lease_gap{};
  bool rank_changed = false;
};

/// When a heartbeat was sent and its answer arrived.
struct HeartbeatTimes {
  TimePoint sent;
  TimePoint answered;
};

class NodeSession {
 public:
  explicit NodeSession(Incarnation incarnation) : incarnation_(incarnation) {}

  NodeId node_id() const { return node_id_; }
  /// The id before this one in the same process; invalid if none.
  NodeId previous_node_id() const { return previous_node_id_; }
  Incarnation incarnation() const { return incarnation_; }
  std::uint32_t partition_count() const { return partition_count_; }
  GatewayRank gateway_rank() const { return gateway_rank_; }
  const std::vector<Endpoint>& neighbours() const { return neighbours_; }
  /// None before the first heartbeat was answered.
  const std::optional<std::vector<ListSource>>& list_sources() const { return list_sources_; }
  TimePoint lease_end() const { return lease_end_; }
  bool HasValidLease(TimePoint now) const { return node_id_.valid() && now < lease_end_; }
  const proto::RoutingConfiguration& configuration() const {
    return configuration_.configuration();
  }
  const FleetView& fleet() const { return fleet_.view(); }

  /// Applies a fresh node id. There is no lease until the first heartbeat is answered.
  void ApplyRegistration(const proto::RegisterServerResponse& response);
  /// Ends this incarnation: the id and its lease are invalid at once.
  void EndIncarnation();

  /// Adds a peer to report as suspect. @return false if its report is already pending.
  bool AddSuspect(NodeId peer) { return suspects_.insert(peer).second; }
  void SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded);

  /// @return the request to send now; the leader may delay its answer for up to `hold`.
  proto::HeartbeatRequest MakeHeartbeat(Duration hold) const;
  /// Applies the response to `request`.
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
  TimePoint last_lease_end_{};  ///< Of any incarnation of this process.
  ConfigurationWatch configuration_;
  FleetWatch fleet_;
  std::set<NodeId> suspects_;
  std::uint64_t free_bytes_ = 0;
  std::uint64_t open_items_ = 0;
  bool degraded_ = false;
};

}  // namespace cloverbank

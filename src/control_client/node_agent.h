#pragma once
/// @file
/// A node's client of the coordinators: it registers the node under an id, renews its lease by
/// heartbeats, and keeps copies of the routing configuration and the fleet current. One agent for
/// each role on a machine.
///
/// The lease starts when the heartbeat that renewed it was *sent*, on the boot clock, so a process
/// that was suspended finds it expired when it resumes. Owners of a lease check `HasValidLease()`
/// immediately before each effect.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_client/fleet_view.h"
#include "control_client/list_source.h"
#include "control_client/node_agent_options.h"
#include "proto/configuration.pb.h"
#include "proto/coordinator.pb.h"
#include "runtime/environment.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

class NodeAgent {
 public:
  NodeAgent(Environment& environment, NodeAgentOptions options);
  ~NodeAgent();
  NodeAgent(const NodeAgent&) = delete;
  NodeAgent& operator=(const NodeAgent&) = delete;

  /// Registers, then sends heartbeats, for as long as the agent lives.
  void Start();

  /// @return the id of this incarnation; invalid until registered, and again after `OnFenced`.
  NodeId node_id() const;
  Incarnation incarnation() const;
  const std::string& zone() const;
  std::uint32_t partition_count() const;
  /// @return the rank of this gateway in its zone, by which zone-wide rates and capacities are
  /// divided.
  GatewayRank gateway_rank() const;
  /// @return peer endpoints of other gateways in this zone, a bounded number of them.
  const std::vector<Endpoint>& neighbours() const;
  /// @return the gateways to request the list of replicas from, in order; none before the first
  /// heartbeat was answered.
  const std::optional<std::vector<ListSource>>& list_sources() const;
  /// Whether this node may act: it is registered, not fenced, and its lease has not expired.
  bool HasValidLease() const;
  /// @return when the lease expires; a past time if there is none.
  TimePoint lease_end() const;

  /// The newest known configuration; version 0 until the first arrives. The version never
  /// decreases.
  const proto::RoutingConfiguration& configuration() const;
  const FleetView& fleet() const;
  /// Current coordinators, the likely leader first.
  std::vector<Endpoint> coordinators() const;

  /// Observers run after a newer configuration or fleet view was applied.
  void OnConfiguration(std::function<void()> observer);
  void OnFleet(std::function<void()> observer);
  /// Runs after the rank among the gateways of the zone has changed.
  void OnGatewayRank(std::function<void()> observer);
  /// Runs when the node id has become valid (at first, and again after each fence).
  void OnRegistered(std::function<void()> observer);
  /// Runs when the coordinators refused this node id as dead. The owner must stop every act under
  /// the old id at once. The agent then registers anew under a fresh id.
  void OnFenced(std::function<void()> observer);

  /// Reports `peer` as unresponsive to the coordinators at once, in a heartbeat of its own.
  void ReportSuspect(NodeId peer);
  void SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded);
  /// Ends this incarnation and registers under a fresh id (called by a queue node that a backup
  /// refused as fenced). Runs the `OnFenced` observers.
  void AbandonNodeId(std::string_view reason);

  /// Calls `method` at the coordinator leader, following kNotLeader hints and trying the other
  /// members until `deadline`. Only for methods that may safely be repeated (all coordinator.* are:
  /// they carry an operation id or name the state they want).
  void CallLeaderRaw(std::string_view method, std::string body, Duration deadline,
                     PeerReplyCallback done);

  template <typename Response, typename Request>
  void CallLeader(std::string_view method, const Request& request, Duration deadline,
                  std::function<void(Result<Response>)> done) {
    CallLeaderRaw(method, request.SerializeAsString(), deadline,
                  [done = std::move(done)](PeerReply reply) {
                    if (!reply.status.ok()) {
                      done(std::move(reply.status));
                      return;
                    }
                    Response response;
                    if (!response.ParseFromString(reply.body)) {
                      done(Status(StatusCode::kInternal, "malformed coordinator answer"));
                      return;
                    }
                    done(std::move(response));
                  });
  }

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank

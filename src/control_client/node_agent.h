#pragma once
/// @file
/// What every role needs of control: registration under a node id, heartbeats that renew its lease,
/// and a watch on the routing configuration and the fleet. One agent a role on a machine.
///
/// The lease counts from the moment the heartbeat that renewed it was *sent*, on the boot clock, so
/// a process that froze finds it expired when it wakes. Holders call `LeaseValid()` immediately
/// before each effect.
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

  /// Begins registering, then heartbeating, for as long as the agent lives.
  void Start();

  /// @return the id of this life; invalid until registered, and again after `OnFenced`.
  NodeId node_id() const;
  Incarnation incarnation() const;
  const std::string& zone() const;
  std::uint32_t partition_count() const;
  /// @return where this gateway stands among those of its zone: shares of what all of them may take
  /// are divided by it.
  GatewayRank gateway_rank() const;
  /// @return peer endpoints of other gateways in this zone, a bounded number of them.
  const std::vector<Endpoint>& neighbours() const;
  /// @return the gateways to ask for the list of replicas, in order; nothing before the first
  /// heartbeat was answered.
  const std::optional<std::vector<ListSource>>& list_sources() const;
  /// Whether this node still holds the right to act: registered, not fenced, lease not run out.
  bool LeaseValid() const;
  /// @return when the lease runs out; a past time if there is none.
  TimePoint lease_end() const;

  /// The newest configuration held; version 0 until the first arrives. Never goes back.
  const proto::RoutingConfiguration& configuration() const;
  const FleetView& fleet() const;
  /// Current coordinators, best guess of the leader first.
  std::vector<Endpoint> coordinators() const;

  /// Observers run after a newer configuration or fleet view was taken.
  void OnConfiguration(std::function<void()> observer);
  void OnFleet(std::function<void()> observer);
  /// Runs after the place among the gateways of the zone has changed.
  void OnGatewayRank(std::function<void()> observer);
  /// Runs when the node id became valid (first, and again after each fence).
  void OnRegistered(std::function<void()> observer);
  /// Runs when the coordinators refused this node id as dead. The owner must stop every act under
  /// the old id at once. The agent then registers anew under a fresh id.
  void OnFenced(std::function<void()> observer);

  /// Tells the coordinators at once, in a heartbeat beside a held one.
  void ReportSuspect(NodeId peer);
  void SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded);
  /// Ends this life and registers under a fresh id (a queue node that was refused as fenced by a
  /// backup calls it). Runs the `OnFenced` observers.
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

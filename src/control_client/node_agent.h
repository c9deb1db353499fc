#pragma once
/// @file
/// A node's client of the coordinators. It registers the node, which gives it a node id, renews the
/// node's lease by heartbeats, and keeps copies of the routing configuration and the fleet view
/// current. A machine runs one agent for each of its roles.
///
/// The term of a lease starts when the node *sent* the heartbeat that renewed it. It is measured on
/// the boot clock, which also advances during a suspend, so a process that was suspended for long
/// finds its lease expired when it resumes. The owner of an agent must check `HasValidLease()`
/// immediately before each action that requires the lease.
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
  /// @param environment must outlive this object.
  NodeAgent(Environment& environment, NodeAgentOptions options);
  ~NodeAgent();
  NodeAgent(const NodeAgent&) = delete;
  NodeAgent& operator=(const NodeAgent&) = delete;

  /// Registers the node, then sends heartbeats until the agent is destroyed. Further calls do
  /// nothing.
  void Start();

  /// @return the current node id. It is invalid until the node is registered, and after a fence
  /// until the node is registered again.
  NodeId node_id() const;
  /// @return a random number that identifies this run of the agent. Unlike the node id, it stays
  /// the same after a fence.
  Incarnation incarnation() const;
  const std::string& zone() const;
  /// @return the number of partitions of the fleet; 0 until the node is registered.
  std::uint32_t partition_count() const;
  /// @return the ranks of this gateway in its zone and in those without gateways. The gateways that
  /// serve a zone divide zone-wide rates and capacities among them by it.
  const GatewayRank& gateway_rank() const;
  /// @return the peer endpoints of a bounded number of other gateways in this zone.
  const std::vector<Endpoint>& neighbours() const;
  /// @return the gateways from which to request the list of replicas, in the order in which to try
  /// them; nullopt until the first heartbeat is answered.
  const std::optional<std::vector<ListSource>>& list_sources() const;
  /// @return whether this node may act: it is registered, not fenced, and its lease has not
  /// expired.
  bool HasValidLease() const;
  /// @return when the lease expires; a time in the past if there is no lease.
  TimePoint lease_end() const;

  /// @return the newest known configuration, which has version 0 until the first one arrives. The
  /// version never decreases.
  const proto::RoutingConfiguration& configuration() const;
  const FleetView& fleet() const;
  /// @return the known coordinators, the likely leader first, and then the seeds.
  std::vector<Endpoint> coordinators() const;

  // Observers run on the event loop, in the order in which they were added.

  /// Runs `observer` after each update of the configuration to a newer version.
  void OnConfiguration(std::function<void()> observer);
  /// Runs `observer` after each update of the fleet view to a newer version.
  void OnFleet(std::function<void()> observer);
  /// Runs `observer` after `gateway_rank` has changed.
  void OnGatewayRank(std::function<void()> observer);
  /// Runs `observer` after each registration, when the node id has become valid: the first one, and
  /// one after each fence.
  void OnRegistered(std::function<void()> observer);
  /// Runs `observer` when the node is fenced, that is, the coordinators refused its node id as dead
  /// or unknown, or `AbandonNodeId` ended it. The id is already invalid then. The owner must
  /// immediately stop everything that it does under the old id. The agent then registers again and
  /// gets a new id.
  void OnFenced(std::function<void()> observer);

  /// Reports to the coordinators that `peer` does not respond. Sends an additional heartbeat for it
  /// immediately; if one is already in flight, the next heartbeat contains the report.
  void ReportSuspect(NodeId peer);
  /// Sets the load that the following heartbeats report.
  /// @param free_bytes free disk space, of a backup.
  /// @param open_items number of open items, of a queue node.
  /// @param degraded whether the log of a queue node has fewer replicas than configured.
  void SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded);
  /// Invalidates the node id, runs the `OnFenced` observers and registers again to get a new id. A
  /// queue node calls it when a backup refused it as fenced. Does nothing without a valid node id.
  /// @param reason for the log.
  void AbandonNodeId(std::string_view reason);

  /// Calls `method` at the coordinator leader; follows kNotLeader hints and tries the other members
  /// until `deadline`. Only for methods that can safely be repeated. All coordinator.* methods can,
  /// because their requests contain an operation id or state the desired result.
  /// @param body the serialized request.
  /// @param deadline of the whole call, from now.
  /// @param done runs once on the event loop, unless the agent is destroyed before. If no leader
  /// has answered by the deadline, the status is kUnknownOutcome if a member may have executed the
  /// request, else kUnavailable.
  void CallLeaderRaw(std::string_view method, std::string body, Duration deadline,
                     PeerReplyCallback done);

  /// Like `CallLeaderRaw`, with protobuf messages. `done` gets kInternal if the response cannot be
  /// parsed.
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

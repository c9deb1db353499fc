#pragma once
/// @file
/// A fake coordinator for tests of queue nodes: a single process without consensus. The test owns
/// its state and changes it directly.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "proto/coordinator.pb.h"
#include "runtime/typed_peer.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

/// The state of the fake coordinator. It is kept when the coordinator's process restarts.
struct FakeCoordinatorState {
  std::uint64_t next_node_id = 1;
  std::uint64_t fleet_version = 1;
  std::map<std::uint64_t, proto::Server> servers;  ///< By node id.
  std::map<std::uint64_t, proto::Partition> partitions;
  std::map<std::uint64_t, proto::LogHead> heads;  ///< Committed log heads, by node id.
  proto::RoutingConfiguration configuration;
  bool answers_commits = true;  ///< If false, CommitHead requests get no answer.
  std::vector<proto::FinishAssignmentRequest> finished_assignments;

  bool IsDead(std::uint64_t node) const {
    const auto server = servers.find(node);
    return server == servers.end() || server->second.state() == proto::SERVER_STATE_DEAD;
  }
  /// Declares the node dead and takes its partitions from it, to be recovered from its log.
  void DeclareDead(std::uint64_t node) {
    servers[node].set_state(proto::SERVER_STATE_DEAD);
    for (auto& [id, partition] : partitions) {
      if (partition.owner() == node) {
        partition.set_owner(0);
        partition.set_recovering_from(node);
      }
    }
    ++fleet_version;
  }
  /// Makes the node the owner of the partition.
  void Assign(std::uint64_t partition, std::uint64_t node) {
    partitions[partition].set_partition_id(partition);
    partitions[partition].set_owner(node);
    ++fleet_version;
  }
  /// @return the id of the live node of `role` on `machine`, or 0 if there is none.
  std::uint64_t NodeOf(const std::string& machine, proto::Role role) const {
    for (const auto& [id, server] : servers) {
      if (server.machine() == machine && server.role() == role && !IsDead(id)) {
        return id;
      }
    }
    return 0;
  }
};

class FakeCoordinator {
 public:
  FakeCoordinator(Environment& environment, FakeCoordinatorState& state)
      : environment_(environment), state_(state) {
    Serve<proto::RegisterServerRequest, proto::RegisterServerResponse>(
        "coordinator.RegisterServer", [this](const auto& request) { return Register(request); });
    Serve<proto::FinishAssignmentRequest, proto::FinishAssignmentResponse>(
        "coordinator.FinishAssignment",
        [this](const auto& request) { return FinishAssignment(request); });
    ServePeer<proto::CommitHeadRequest, proto::CommitHeadResponse>(
        environment_, "coordinator.CommitHead",
        [this](const auto& request, const std::string&, const auto& reply) {
          if (state_.answers_commits) {
            reply(CommitHead(request.head()));
          }
        });
    ServePeer<proto::HeartbeatRequest, proto::HeartbeatResponse>(
        environment_, "coordinator.Heartbeat",
        [this](const auto& request, const std::string&, const HeartbeatReply& reply) {
          AnswerHeartbeat(request, environment_.Now() + milliseconds(request.hold_ms()), reply);
        });
  }

 private:
  using HeartbeatReply = std::function<void(Result<proto::HeartbeatResponse>)>;

  template <typename Request, typename Response, typename Handler>
  void Serve(std::string_view method, Handler handler) {
    ServePeer<Request, Response>(environment_, method,
                                 [handler](const Request& request, const std::string&,
                                           const auto& reply) { reply(handler(request)); });
  }

  Result<proto::RegisterServerResponse> Register(const proto::RegisterServerRequest& request) {
    for (const auto& [id, server] : state_.servers) {
      const bool earlier_incarnation = server.machine() == request.server().machine() &&
                                       server.role() == request.server().role() &&
                                       !state_.IsDead(id);
      if (earlier_incarnation) {
        state_.DeclareDead(id);
      }
    }
    proto::RegisterServerResponse response;
    response.set_node_id(state_.next_node_id++);
    response.set_partition_count(static_cast<std::uint32_t>(state_.partitions.size()));
    proto::Server& server = state_.servers[response.node_id()];
    server = request.server();
    server.set_node_id(response.node_id());
    server.set_state(proto::SERVER_STATE_UP);
    ++state_.fleet_version;
    return response;
  }

  Result<proto::FinishAssignmentResponse> FinishAssignment(
      const proto::FinishAssignmentRequest& request) {
    if (state_.IsDead(request.queue_node_id())) {
      return Status(StatusCode::kFenced, "dead");
    }
    for (const std::uint64_t partition : request.partition_ids()) {
      const proto::Partition& current = state_.partitions[partition];
      const bool awaits_recovery =
          current.owner() == 0 && current.recovering_from() == request.dead_node_id();
      if (!awaits_recovery && current.owner() != request.queue_node_id()) {
        return Status(StatusCode::kConflict, "the partition is not awaiting this recovery");
      }
    }
    state_.finished_assignments.push_back(request);
    for (const std::uint64_t partition : request.partition_ids()) {
      state_.partitions[partition].set_recovering_from(0);
      state_.Assign(partition, request.queue_node_id());
    }
    return proto::FinishAssignmentResponse();
  }

  Result<proto::CommitHeadResponse> CommitHead(const proto::LogHead& head) {
    if (state_.IsDead(head.node_id())) {
      return Status(StatusCode::kFenced, "dead");
    }
    proto::LogHead& current = state_.heads[head.node_id()];
    if (std::pair(head.segment_id(), head.epoch()) <
        std::pair(current.segment_id(), current.epoch())) {
      return Status(StatusCode::kStaleEpoch, "the head is older than the committed one");
    }
    current = head;
    return proto::CommitHeadResponse();
  }

  /// Answers once there is a change to send or `hold_until` has passed.
  void AnswerHeartbeat(const proto::HeartbeatRequest& request, TimePoint hold_until,
                       const HeartbeatReply& reply) {
    if (state_.IsDead(request.node_id())) {
      reply(Status(StatusCode::kFenced, "declared dead"));
      return;
    }
    const bool has_update = request.fleet_version() != state_.fleet_version ||
                            request.configuration_version() != state_.configuration.version();
    if (!has_update && environment_.Now() < hold_until) {
      environment_.ScheduleAfter(milliseconds(5), [this, request, hold_until, reply] {
        AnswerHeartbeat(request, hold_until, reply);
      });
      return;
    }
    reply(MakeHeartbeatResponse(request));
  }

  proto::HeartbeatResponse MakeHeartbeatResponse(const proto::HeartbeatRequest& request) {
    proto::HeartbeatResponse response;
    response.set_lease_ms(3000);
    if (request.configuration_version() != state_.configuration.version()) {
      proto::ConfigurationUpdate& update = *response.mutable_configuration();
      update.set_to_version(state_.configuration.version());
      *update.mutable_full() = state_.configuration;
    }
    proto::FleetUpdate& fleet = *response.mutable_fleet();
    fleet.set_to_version(state_.fleet_version);
    for (const auto& [id, server] : state_.servers) {
      *fleet.add_servers() = server;
    }
    for (const auto& [id, partition] : state_.partitions) {
      *fleet.add_partitions() = partition;
    }
    return response;
  }

  Environment& environment_;
  FakeCoordinatorState& state_;
};

}  // namespace cloverbank

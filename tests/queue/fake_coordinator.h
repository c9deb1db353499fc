#pragma once
/// @file
/// A scripted coordinator for tests of queue nodes: one process whose state the test holds and
/// changes.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "proto/coordinator.pb.h"
#include "runtime/typed_peer.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

/// What the fake coordinator knows; outlives its process.
struct FakeCoordinatorState {
  std::uint64_t next_node_id = 1;
  std::uint64_t fleet_version = 1;
  std::map<std::uint64_t, proto::Server> servers;
  std::map<std::uint64_t, proto::Partition> partitions;
  std::map<std::uint64_t, proto::LogHead> heads;
  proto::RoutingConfiguration configuration;
  bool answers_commits = true;
  std::vector<proto::FinishAssignmentRequest> finished;

  bool IsDead(std::uint64_t node) const {
    const auto server = servers.find(node);
    return server == servers.end() || server->second.state() == proto::SERVER_STATE_DEAD;
  }
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
  void Assign(std::uint64_t partition, std::uint64_t node) {
    partitions[partition].set_partition_id(partition);
    partitions[partition].set_owner(node);
    ++fleet_version;
  }
  /// @return the live node of `role` on `machine`, or 0.
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
        "coordinator.FinishAssignment", [this](const auto& request) { return Finish(request); });
    ServePeer<proto::CommitHeadRequest, proto::CommitHeadResponse>(
        environment_, "coordinator.CommitHead",
        [this](const auto& request, const std::string&, const auto& reply) {
          if (state_.answers_commits) {
            reply(Commit(request.head()));
          }
        });
    ServePeer<proto::HeartbeatRequest, proto::HeartbeatResponse>(
        environment_, "coordinator.Heartbeat",
        [this](const auto& request, const std::string&, const HeartbeatReply& reply) {
          Wait(request, environment_.Now() + milliseconds(request.hold_ms()), reply);
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

  Result<proto::FinishAssignmentResponse> Finish(const proto::FinishAssignmentRequest& request) {
    if (state_.IsDead(request.queue_node_id())) {
      return Status(StatusCode::kFenced, "dead");
    }
    for (const std::uint64_t partition : request.partition_ids()) {
      const proto::Partition& known = state_.partitions[partition];
      const bool open = known.owner() == 0 && known.recovering_from() == request.dead_node_id();
      if (!open && known.owner() != request.queue_node_id()) {
        return Status(StatusCode::kConflict, "recovered by another node");
      }
    }
    state_.finished.push_back(request);
    for (const std::uint64_t partition : request.partition_ids()) {
      state_.partitions[partition].set_recovering_from(0);
      state_.Assign(partition, request.queue_node_id());
    }
    return proto::FinishAssignmentResponse();
  }

  Result<proto::CommitHeadResponse> Commit(const proto::LogHead& head) {
    if (state_.IsDead(head.node_id())) {
      return Status(StatusCode::kFenced, "dead");
    }
    proto::LogHead& current = state_.heads[head.node_id()];
    if (std::pair(head.segment_id(), head.epoch()) <
        std::pair(current.segment_id(), current.epoch())) {
      return Status(StatusCode::kStaleEpoch, "older head");
    }
    current = head;
    return proto::CommitHeadResponse();
  }

  void Wait(const proto::HeartbeatRequest& request, TimePoint until, const HeartbeatReply& reply) {
    if (state_.IsDead(request.node_id())) {
      reply(Status(StatusCode::kFenced, "declared dead"));
      return;
    }
    const bool news = request.fleet_version() != state_.fleet_version ||
                      request.configuration_version() != state_.configuration.version();
    if (!news && environment_.Now() < until) {
      environment_.ScheduleAfter(milliseconds(5),
                                 [this, request, until, reply] { Wait(request, until, reply); });
      return;
    }
    reply(Answer(request));
  }

  proto::HeartbeatResponse Answer(const proto::HeartbeatRequest& request) {
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

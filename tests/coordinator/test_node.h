#pragma once
/// @file
/// A node as the coordinators see it: it registers, sends heartbeats, holds a lease and confirms
/// versions. It answers the coordinators' calls to backups and queue nodes.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "proto/log.pb.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

/// The disk of a backup. It outlives the backup's process.
struct TestDisk {
  std::string id;
  std::map<std::uint64_t, std::vector<proto::StoredSegment>> segments;  // By owner node id.
  std::set<std::uint64_t> fenced;                                       // Node ids.
};

class TestNode {
 public:
  TestNode(Environment& environment, proto::Role role, std::string machine,
           std::vector<Endpoint> coordinators, TestDisk* disk, std::string zone = "")
      : environment_(environment),
        role_(role),
        machine_(std::move(machine)),
        coordinators_(std::move(coordinators)),
        disk_(disk),
        zone_(std::move(zone)),
        incarnation_(environment.Random()) {
    if (role == proto::ROLE_BACKUP) {
      ServeBackup();
    } else if (role == proto::ROLE_QUEUE) {
      ServeQueue();
    }
    Register();
  }

  std::string host() const { return environment_.peer_endpoint().host; }
  bool HasValidLease() const { return node_id != 0 && environment_.Now() < lease_end; }

  std::uint64_t node_id = 0;
  TimePoint lease_end;
  TimePoint old_lease_end;  ///< End of the last lease granted with an older configuration.
  std::uint64_t configuration_version = 0;
  std::uint64_t fleet_version = 0;
  std::vector<proto::Endpoint> list_sources;  ///< For a gateway, from the last heartbeat.
  std::vector<proto::Endpoint> remote_list_sources;
  std::vector<proto::ZoneRank> zones_without_gateway;
  bool confirms_versions = true;  ///< Whether heartbeats report the newest version.
  bool finishes_replays = true;   ///< Of a queue node: whether it reports replays as done.
  int fenced_count = 0;           ///< How many heartbeats were refused with kFenced.

 private:
  /// Calls one coordinator. If it is not the leader or fails, the next call goes to the next one.
  template <typename Response, typename Request>
  void CallLeader(std::string_view method, const Request& request,
                  std::function<void(Result<Response>)> done) {
    CallPeer<Response>(
        environment_, coordinators_[coordinator_index_ % coordinators_.size()], method, request,
        milliseconds(1500), [this, done = std::move(done)](Result<Response> response) {
          const bool try_next = !response.ok() && response.status().code() != StatusCode::kFenced;
          coordinator_index_ += try_next ? 1 : 0;
          done(std::move(response));
        });
  }

  void Register() {
    proto::RegisterServerRequest request;
    proto::Server& server = *request.mutable_server();
    server.set_role(role_);
    server.set_machine(machine_);
    server.set_zone(zone_);
    server.set_incarnation(incarnation_);
    server.mutable_peer_endpoint()->set_host(environment_.peer_endpoint().host);
    server.mutable_peer_endpoint()->set_port(environment_.peer_endpoint().port);
    server.set_disk_id(disk_ == nullptr ? "" : disk_->id);
    request.set_previous_node_id(previous_);
    CallLeader<proto::RegisterServerResponse>(
        "coordinator.RegisterServer", request,
        [this](const Result<proto::RegisterServerResponse>& response) {
          if (!response.ok()) {
            environment_.ScheduleAfter(milliseconds(50), [this] { Register(); });
            return;
          }
          node_id = response->node_id();
          Heartbeat();
        });
  }

  void Heartbeat() {
    proto::HeartbeatRequest request;
    request.set_node_id(node_id);
    request.set_incarnation(incarnation_);
    request.set_configuration_version(confirms_versions
                                          ? configuration_version
                                          : std::min<std::uint64_t>(configuration_version, 1));
    request.set_fleet_version(fleet_version);
    request.set_hold_ms(800);
    request.set_free_bytes(1ULL << 40U);
    const TimePoint sent = environment_.Now();
    CallLeader<proto::HeartbeatResponse>(
        "coordinator.Heartbeat", request,
        [this, sent](const Result<proto::HeartbeatResponse>& response) {
          if (response.ok()) {
            Apply(sent, *response);
          } else if (response.status().code() == StatusCode::kFenced) {
            ++fenced_count;
            previous_ = node_id;
            node_id = 0;
            Register();
            return;
          }
          environment_.ScheduleAfter(milliseconds(50), [this] { Heartbeat(); });
        });
  }

  void Apply(TimePoint sent, const proto::HeartbeatResponse& response) {
    if (response.configuration().to_version() > configuration_version) {
      old_lease_end = lease_end;
      configuration_version = response.configuration().to_version();
    }
    if (response.has_fleet()) {
      fleet_version = std::max<std::uint64_t>(fleet_version, response.fleet().to_version());
    }
    list_sources.assign(response.list_sources().begin(), response.list_sources().end());
    remote_list_sources.assign(response.remote_list_sources().begin(),
                               response.remote_list_sources().end());
    zones_without_gateway.assign(response.zones_without_gateway().begin(),
                                 response.zones_without_gateway().end());
    lease_end = std::max(lease_end, sent + milliseconds(response.lease_ms()));
  }

  void ServeBackup() {
    ServePeer<proto::StartReadingDataRequest, proto::StartReadingDataResponse>(
        environment_, "backup.StartReadingData",
        [this](const auto& request, const auto&, auto reply) {
          proto::StartReadingDataResponse response;
          disk_->fenced.insert(request.dead_node_id());
          for (const proto::StoredSegment& stored : disk_->segments[request.dead_node_id()]) {
            *response.add_segments() = stored;
          }
          reply(response);
        });
    ServePeer<proto::ReleaseRecoveryDataRequest, proto::ReleaseRecoveryDataResponse>(
        environment_, "backup.ReleaseRecoveryData",
        [this](const auto& request, const auto&, auto reply) {
          disk_->segments.erase(request.dead_node_id());
          reply(proto::ReleaseRecoveryDataResponse());
        });
    ServePeer<proto::ListSegmentsRequest, proto::ListSegmentsResponse>(
        environment_, "backup.ListSegments", [this](const auto&, const auto&, auto reply) {
          proto::ListSegmentsResponse response;
          for (const auto& [owner, stored] : disk_->segments) {
            response.add_replicas()->set_node_id(owner);
          }
          reply(response);
        });
  }

  void ServeQueue() {
    ServePeer<proto::RecoverPartitionsRequest, proto::RecoverPartitionsResponse>(
        environment_, "queue.RecoverPartitions", [this](const auto&, const auto&, auto reply) {
          proto::RecoverPartitionsResponse response;
          response.set_done(finishes_replays);
          reply(response);
        });
  }

  Environment& environment_;
  proto::Role role_;
  std::string machine_;
  std::vector<Endpoint> coordinators_;
  TestDisk* disk_;
  const std::string zone_;
  std::uint64_t incarnation_;
  std::uint64_t previous_ = 0;
  std::size_t coordinator_index_ = 0;
};

}  // namespace cloverbank

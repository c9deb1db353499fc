#pragma once
/// @file
/// Runs three coordinators on a log that the test controls, and nodes, in the simulated world.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control_state/control_commands.h"
#include "coordinator/coordinator_service.h"
#include "fake_group.h"
#include "simulation/simulated_world.h"
#include "test_node.h"

namespace cloverbank {

/// One coordinator process.
struct Member {
  Member(FakeGroup& group, Environment& environment)
      : state(4), log(group, environment, state), service(environment, log, state) {
    service.Start();
  }
  ControlState state;
  FakeLog log;
  CoordinatorService service;
};

class CoordinatorFixture : public testing::Test {
 protected:
  explicit CoordinatorFixture(std::uint64_t seed = 11) : world(seed) {
    for (const char* name : {"c1", "c2", "c3"}) {
      SimulatedMachine& machine = world.AddMachine(name, std::string("10.0.1.") + name[1]);
      coordinators.push_back(machine.endpoint());
      machine.SetProgram([this, name](Environment& environment, DataFolder&) {
        auto member = std::make_shared<Member>(group, environment);
        members[name] = member.get();
        return TrackUntilEnd(std::move(member), &members, name);
      });
      machine.Start();
    }
    members["c1"]->log.BecomeLeader();
  }

  /// Adds and starts a machine with a node of one role.
  SimulatedMachine& Add(proto::Role role, const std::string& name, const std::string& zone = "") {
    SimulatedMachine& machine = world.AddMachine(name, "10.0.2." + std::to_string(++host_count));
    TestDisk* disk = nullptr;
    if (role == proto::ROLE_BACKUP) {
      disk = &disks[name];
      disk->id = "disk of " + name;
    }
    machine.SetProgram([this, role, name, disk, zone](Environment& environment, DataFolder&) {
      auto node = std::make_shared<TestNode>(environment, role, name, coordinators, disk, zone);
      nodes[name] = node.get();
      return TrackUntilEnd(std::move(node), &nodes, name);
    });
    machine.Start();
    return machine;
  }

  /// @return an owner of `program` that removes it from `running` when the process ends.
  template <typename Program>
  static std::shared_ptr<void> TrackUntilEnd(std::shared_ptr<Program> program,
                                             std::map<std::string, Program*>* running,
                                             std::string name) {
    Program* const raw = program.get();
    return {raw, [program = std::move(program), running, name = std::move(name)](void*) mutable {
              if (running->at(name) == program.get()) {
                running->erase(name);
              }
              program.reset();
            }};
  }

  /// Calls a coordinator and runs the world until it replies, or up to a second beyond `limit`.
  template <typename Response, typename Request>
  Result<Response> Call(const Endpoint& to, std::string_view method, const Request& request,
                        Duration limit = seconds(10)) {
    std::optional<PeerReply> reply;
    world.CallPeer(to, method, request.SerializeAsString(), limit,
                   [&reply](PeerReply answer) { reply = std::move(answer); });
    world.RunUntil([&reply] { return reply.has_value(); }, limit + seconds(1));
    if (!reply.has_value() || !reply->status.ok()) {
      return reply.has_value() ? reply->status
                               : Status(StatusCode::kInternal, "no reply within the limit");
    }
    Response response;
    response.ParseFromString(reply->body);
    return response;
  }

  /// @return a transaction on the current version that sets a tenant named after the operation.
  proto::ConfigurationTransaction MakeTenantTransaction(const std::string& operation_id) {
    auto transaction = MakeTransaction(operation_id, state().configuration().version().value());
    AddTenant(&transaction, operation_id);
    return transaction;
  }
  Result<proto::SubmitTransactionResponse> Submit(
      const proto::ConfigurationTransaction& transaction, std::size_t coordinator = 0) {
    proto::SubmitTransactionRequest request;
    *request.mutable_transaction() = transaction;
    return Call<proto::SubmitTransactionResponse>(coordinators[coordinator],
                                                  "coordinator.SubmitTransaction", request);
  }
  proto::GetFleetStatusResponse FleetStatus(std::size_t coordinator = 0) {
    const auto status = Call<proto::GetFleetStatusResponse>(
        coordinators[coordinator], "coordinator.GetFleetStatus", proto::GetFleetStatusRequest());
    EXPECT_TRUE(status.ok());
    return status.ok() ? *status : proto::GetFleetStatusResponse();
  }
  const ControlState& state() { return members["c1"]->state; }
  Duration Elapsed(TimePoint since) const { return world.Now() - since; }
  bool IsDead(std::uint64_t node) {
    const proto::Server* server = state().servers().Find(NodeId(node));
    return server == nullptr || !IsLive(*server);
  }
  std::size_t CountOwned(const std::string& node) {
    return state().partitions().FindOwnedBy(NodeId(nodes[node]->node_id)).size();
  }
  /// Commits segment 1 as the log head of `queue` and stores a replica of it on `backup`.
  void CommitHead(const std::string& queue, const std::string& backup) {
    proto::CommitHeadRequest request;
    proto::LogHead& head = *request.mutable_head();
    head.set_node_id(nodes[queue]->node_id);
    head.set_segment_id(1);
    head.set_epoch(1);
    head.add_backups(nodes[backup]->node_id);
    EXPECT_TRUE(
        Call<proto::CommitHeadResponse>(coordinators[0], "coordinator.CommitHead", request).ok());
    proto::StoredSegment stored;
    stored.set_segment_id(1);
    stored.set_epoch(1);
    stored.add_digest(1);
    disks[backup].segments[nodes[queue]->node_id] = {stored};
  }

  FakeGroup group;
  std::vector<Endpoint> coordinators;
  std::map<std::string, Member*> members;
  std::map<std::string, TestNode*> nodes;
  std::map<std::string, TestDisk> disks;
  int host_count = 0;
  SimulatedWorld world;  ///< The last member, so that its processes end first.
};

}  // namespace cloverbank

// Tests of how the state machine applies registrations, deaths, log heads and recoveries.
#include "control_state/control_state.h"

#include <gtest/gtest.h>

#include <random>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

TEST(ControlStateTest, RepeatedRegistrationKeepsNodeId) {
  ControlDriver control;
  const NodeId first = control.Register(proto::ROLE_QUEUE, "store-1", 11);
  EXPECT_EQ(control.Register(proto::ROLE_QUEUE, "store-1", 11), first);
  const NodeId second = control.Register(proto::ROLE_QUEUE, "store-1", 11, first);
  EXPECT_NE(second, first) << "the node gave up its first id";
  EXPECT_EQ(control.Register(proto::ROLE_QUEUE, "store-1", 11, first), second);
}

TEST(ControlStateTest, RestartSupersedesEarlierIncarnation) {
  ControlDriver control;
  const NodeId first = control.Register(proto::ROLE_QUEUE, "store-1", 11);
  const NodeId other_role = control.Register(proto::ROLE_BACKUP, "store-1", 12);
  const NodeId abandoned = control.Register(proto::ROLE_QUEUE, "store-1", 11, first);
  const NodeId restarted = control.Register(proto::ROLE_QUEUE, "store-1", 13);
  const ServerRegistry& servers = control.state.servers();
  EXPECT_FALSE(IsLive(*servers.Find(first)));
  EXPECT_FALSE(IsLive(*servers.Find(abandoned)));
  EXPECT_TRUE(IsLive(*servers.Find(restarted)));
  EXPECT_TRUE(IsLive(*servers.Find(other_role)));
}

TEST(ControlStateTest, NewAddressKeepsEarlierIncarnationLive) {
  ControlDriver control;
  const NodeId old_incarnation = control.Register(proto::ROLE_QUEUE, "store-1", 11, {}, "10.0.0.1");
  const NodeId new_incarnation = control.Register(proto::ROLE_QUEUE, "store-1", 12, {}, "10.0.0.9");
  const proto::Server& old_server = *control.state.servers().Find(old_incarnation);
  EXPECT_TRUE(IsLive(old_server));
  EXPECT_EQ(control.state.servers().FindLaterIncarnation(old_server), new_incarnation);
}

TEST(ControlStateTest, BackupWithSameDiskSupersedesEarlierOne) {
  ControlDriver control;
  const NodeId old_incarnation =
      control.Register(proto::ROLE_BACKUP, "store-1", 11, {}, "10.0.0.1");
  const NodeId new_incarnation =
      control.Register(proto::ROLE_BACKUP, "store-1", 12, {}, "10.0.0.9");
  EXPECT_FALSE(IsLive(*control.state.servers().Find(old_incarnation)));
  EXPECT_TRUE(control.state.servers().HaveSameDisk(old_incarnation, new_incarnation));
  EXPECT_TRUE(control.state.partitions().recoveries().empty());
}

TEST(ControlStateTest, GatewaysLeaveFleetVersionUnchanged) {
  ControlDriver control;
  const FleetVersion before = control.state.fleet_version();
  const NodeId gateway = control.Register(proto::ROLE_GATEWAY, "front-1", 11);
  EXPECT_EQ(control.state.fleet_version(), before);
  control.DeclareDead(gateway);
  EXPECT_EQ(control.state.servers().Find(gateway), nullptr);
}

TEST(ControlStateTest, CommitsHeadsInOrder) {
  ControlDriver control;
  const NodeId node = control.Register(proto::ROLE_QUEUE, "store-1", 11);
  const NodeId backup = control.Register(proto::ROLE_BACKUP, "store-1", 12);
  EXPECT_EQ(control.CommitHead(node, 1, 1, {backup}), StatusCode::kOk);
  EXPECT_EQ(control.CommitHead(node, 1, 1, {backup}), StatusCode::kOk);
  EXPECT_EQ(control.CommitHead(node, 1, 1, {backup, node}), StatusCode::kStaleEpoch);
  EXPECT_EQ(control.CommitHead(node, 1, 3, {backup}), StatusCode::kOk);
  const NodeId restarted = control.Register(proto::ROLE_BACKUP, "store-1", 13);
  EXPECT_EQ(control.CommitHead(node, 1, 3, {restarted}), StatusCode::kOk)
      << "the same disk as the committed backup";
  EXPECT_EQ(control.CommitHead(node, 1, 2, {backup}), StatusCode::kStaleEpoch);
  EXPECT_EQ(control.CommitHead(node, 2, 1, {backup}), StatusCode::kOk);
  EXPECT_EQ(control.CommitHead(node, 1, 4, {backup}), StatusCode::kStaleEpoch);
  EXPECT_EQ(control.state.partitions().heads().at(node).previous->epoch(), 3U);
}

TEST(ControlStateTest, FencesHeadOfDeadNode) {
  ControlDriver control;
  const NodeId node = control.Register(proto::ROLE_QUEUE, "store-1", 11);
  const NodeId backup = control.Register(proto::ROLE_BACKUP, "store-1", 12);
  EXPECT_EQ(control.CommitHead(node, 1, 1, {backup}), StatusCode::kOk);
  control.DeclareDead(node);
  EXPECT_EQ(control.CommitHead(node, 2, 1, {backup}), StatusCode::kFenced);
}

TEST(ControlStateTest, DeadNodeWithoutHeadFreesPartitions) {
  ControlDriver control;
  const NodeId node = control.Register(proto::ROLE_QUEUE, "store-1", 11);
  EXPECT_EQ(control.Assign(node, {0, 1}), StatusCode::kOk);
  EXPECT_EQ(control.Assign(node, {1, 2}), StatusCode::kConflict);
  control.DeclareDead(node);
  EXPECT_EQ(control.state.partitions().FindFreePartitions().size(), 4U);
  EXPECT_TRUE(control.state.partitions().recoveries().empty());
  EXPECT_EQ(control.Assign(node, {0}), StatusCode::kFenced);
}

// Node B dies while it replays partition 0 from the log of node A. Partition 0 must still be
// recovered from A's log, but the partitions that B owned from B's log.
TEST(ControlStateTest, ReplayingNodeDiesDuringRecovery) {
  ControlDriver control;
  const NodeId a = control.Register(proto::ROLE_QUEUE, "a", 1);
  const NodeId b = control.Register(proto::ROLE_QUEUE, "b", 2);
  const NodeId c = control.Register(proto::ROLE_QUEUE, "c", 3);
  control.Assign(a, {0, 1});
  control.Assign(b, {2});
  control.CommitHead(a, 1, 1, {NodeId(100)});
  control.CommitHead(b, 1, 1, {NodeId(100)});
  control.DeclareDead(a);
  EXPECT_EQ(control.StartReplay(a, b, {0, 1}), StatusCode::kOk);
  EXPECT_EQ(control.StartReplay(a, c, {1}), StatusCode::kConflict);
  EXPECT_EQ(control.FinishAssignment(a, b, {1}), StatusCode::kOk);
  control.DeclareDead(b);
  EXPECT_EQ(NodeId(control.partition(0).recovering_from()), a);
  EXPECT_EQ(NodeId(control.partition(1).recovering_from()), b);
  EXPECT_EQ(NodeId(control.partition(2).recovering_from()), b);
  EXPECT_EQ(control.FinishAssignment(a, b, {0}), StatusCode::kFenced);
  EXPECT_EQ(control.state.partitions().FindUnassigned(a), std::vector<PartitionId>{PartitionId(0)});
  EXPECT_EQ(control.StartReplay(a, c, {0}), StatusCode::kOk);
  EXPECT_EQ(control.FinishRecovery(a), StatusCode::kConflict);
  EXPECT_EQ(control.FinishAssignment(a, c, {0}), StatusCode::kOk);
  EXPECT_EQ(control.FinishAssignment(a, c, {0}), StatusCode::kOk);
  EXPECT_EQ(control.state.partitions().recoveries().at(a).phase(), proto::RECOVERY_PHASE_RELEASING);
  EXPECT_EQ(control.FinishRecovery(a), StatusCode::kOk);
  EXPECT_EQ(control.FinishAssignment(a, c, {0}), StatusCode::kOk)
      << "repeated after the recovery has finished";
  EXPECT_EQ(control.state.partitions().recoveries().count(b), 1U);
}

TEST(ControlStateTest, RetiredMachineStaysRetiringAfterRestart) {
  ControlDriver control;
  const NodeId node = control.Register(proto::ROLE_QUEUE, "store-1", 1);
  proto::ControlCommand retire;
  retire.mutable_retire_machine()->set_machine("store-1");
  control.Apply(retire);
  EXPECT_EQ(control.state.servers().Find(node)->state(), proto::SERVER_STATE_RETIRING);
  ControlDriver restored;
  ASSERT_TRUE(restored.state.RestoreSnapshot(control.state.TakeSnapshot()).ok());
  const NodeId next = restored.Register(proto::ROLE_QUEUE, "store-1", 2);
  EXPECT_EQ(restored.state.servers().Find(next)->state(), proto::SERVER_STATE_RETIRING);
  retire.mutable_retire_machine()->set_cancel(true);
  restored.Apply(retire);
  EXPECT_EQ(restored.state.servers().Find(next)->state(), proto::SERVER_STATE_UP);
}

/// The fleet as a node knows it from the fleet updates that it applies.
struct FleetView {
  std::uint64_t version = 0;
  std::map<std::uint64_t, std::string> servers;
  std::map<std::uint64_t, std::string> partitions;
  void Apply(const proto::FleetUpdate& update) {
    if (update.from_version() == 0) {
      servers.clear();
      partitions.clear();
    }
    for (const proto::Server& server : update.servers()) {
      if (IsLive(server)) {
        servers[server.node_id()] = server.SerializeAsString();
      } else {
        servers.erase(server.node_id());
      }
    }
    for (const proto::Partition& partition : update.partitions()) {
      partitions[partition.partition_id()] = partition.SerializeAsString();
    }
    version = update.to_version();
  }
};

/// Applies random commands to two members, one of which is periodically restored from its snapshot,
/// and checks that both have the same state and that the invariants hold.
class RandomCommands {
 public:
  explicit RandomCommands(std::uint64_t seed) : random_(seed) {}

  void Run() {
    for (int step = 0; step < 400; ++step) {
      const proto::ControlCommand command = RandomCommand();
      const auto before = Ownership();
      const std::string result = control_.Apply(command).SerializeAsString();
      ASSERT_EQ(restored_.Apply(command).SerializeAsString(), result);
      if (step % 50 == 49) {
        const std::string snapshot = restored_.state.TakeSnapshot();
        restored_ = ControlDriver();
        ASSERT_TRUE(restored_.state.RestoreSnapshot(snapshot).ok());
      }
      ASSERT_EQ(restored_.state.TakeSnapshot(), control_.state.TakeSnapshot());
      CheckInvariants(before, command);
      CheckFleetView();
    }
  }

 private:
  std::uint64_t RandomBelow(std::uint64_t bound) { return random_() % bound; }
  NodeId RandomNode() {
    return NodeId(1 + RandomBelow(control_.state.servers().next_node_id().value()));
  }

  proto::ControlCommand RandomCommand() {
    proto::ControlCommand command;
    const std::uint64_t partition = RandomBelow(4);
    const std::uint64_t kind = RandomBelow(10);
    if (kind < 3) {
      proto::Server& server = *command.mutable_register_server()->mutable_server();
      server.set_role(static_cast<proto::Role>(1 + RandomBelow(3)));
      server.set_machine("m" + std::to_string(RandomBelow(4)));
      server.mutable_peer_endpoint()->set_host(server.machine());
      server.set_incarnation(RandomBelow(100));
    } else if (kind == 3) {
      command.mutable_declare_server_dead()->set_node_id(RandomNode().value());
    } else if (kind < 6) {
      proto::LogHead& head = *command.mutable_commit_head()->mutable_head();
      head.set_node_id(RandomNode().value());
      head.set_segment_id(1 + RandomBelow(3));
      head.set_epoch(1 + RandomBelow(3));
      head.add_backups(RandomNode().value());
    } else if (kind == 6) {
      command.mutable_assign_partitions()->set_queue_node_id(RandomNode().value());
      command.mutable_assign_partitions()->add_partition_ids(partition);
    } else if (kind == 7) {
      command.mutable_start_replay()->set_dead_node_id(RecoveringOrRandomNode().value());
      auto& assignment = *command.mutable_start_replay()->add_assignments();
      assignment.set_queue_node_id(RandomNode().value());
      assignment.add_partition_ids(partition);
    } else if (kind == 8) {
      command.mutable_finish_assignment()->set_dead_node_id(RecoveringOrRandomNode().value());
      command.mutable_finish_assignment()->set_queue_node_id(RandomNode().value());
      command.mutable_finish_assignment()->add_partition_ids(partition);
    } else {
      command.mutable_finish_recovery()->set_dead_node_id(RecoveringOrRandomNode().value());
    }
    return command;
  }

  NodeId RecoveringOrRandomNode() {
    const auto& recoveries = control_.state.partitions().recoveries();
    return recoveries.empty() ? RandomNode() : recoveries.begin()->first;
  }

  struct PartitionSource {
    NodeId owner;
    NodeId log;  ///< The dead node from whose log it is being recovered.
    bool operator==(const PartitionSource&) const = default;
  };
  std::vector<PartitionSource> Ownership() const {
    std::vector<PartitionSource> ownership;
    for (const auto& [id, partition] : control_.state.partitions().partitions()) {
      ownership.push_back({NodeId(partition.owner()), NodeId(partition.recovering_from())});
    }
    return ownership;
  }

  void CheckInvariants(const std::vector<PartitionSource>& before,
                       const proto::ControlCommand& command) {
    const PartitionTable& table = control_.state.partitions();
    const auto after = Ownership();
    for (std::size_t id = 0; id < after.size(); ++id) {
      const auto [owner, log] = after[id];
      ASSERT_FALSE(owner.valid() && log.valid());
      if (owner.valid()) {
        ASSERT_NE(control_.state.servers().FindLive(owner, proto::ROLE_QUEUE), nullptr);
      }
      if (log.valid()) {
        ASSERT_TRUE(table.recoveries().contains(log) && table.heads().contains(log));
      }
      if (before[id].log.valid() && before[id] != after[id]) {
        ASSERT_TRUE(command.has_finish_assignment())
            << "recovery of partition " << id << " ended without a finished replay";
      }
    }
  }

  void CheckFleetView() {
    if (RandomBelow(5) != 0) {
      return;
    }
    fleet_view_.Apply(control_.state.FleetUpdateFrom(FleetVersion(fleet_view_.version)));
    FleetView fresh;
    fresh.Apply(control_.state.FleetUpdateFrom(FleetVersion(0)));
    ASSERT_EQ(fleet_view_.servers, fresh.servers);
    ASSERT_EQ(fleet_view_.partitions, fresh.partitions);
  }

  std::mt19937_64 random_;
  ControlDriver control_;
  ControlDriver restored_;
  FleetView fleet_view_;
};

TEST(ControlStateTest, RandomCommandsKeepInvariants) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    RandomCommands(seed).Run();
    if (HasFatalFailure()) {
      return;
    }
  }
}

}  // namespace
}  // namespace cloverbank

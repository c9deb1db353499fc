// Tests the coordinators under random faults: nodes and coordinators freeze, lose power or are
// partitioned, the leader changes, and operators send concurrent transactions. Safety, checked
// throughout: no node has a valid lease under a dead node id, and when a transaction is
// acknowledged no gateway with a valid lease uses an older version. Liveness, checked at the end:
// no recovery is left, every partition has a live owner, every node has a lease, the current
// configuration is in force and no backup keeps segments of dead nodes.
#include <gtest/gtest.h>

#include <set>

#include "coordinator_fixture.h"

namespace cloverbank {
namespace {

class FaultRun : public CoordinatorFixture {
 public:
  explicit FaultRun(std::uint64_t seed) : CoordinatorFixture(seed) {
    for (const char* name : {"g1", "g2", "g3"}) {
      Add(proto::ROLE_GATEWAY, name);
    }
    for (const char* name : {"b1", "b2", "b3"}) {
      Add(proto::ROLE_BACKUP, name);
    }
    for (const char* name : {"q1", "q2", "q3"}) {
      Add(proto::ROLE_QUEUE, name);
    }
    group.commit_delay = milliseconds(3 + 70 * (seed % 4));
    world.network().request_loss = 0.01 * static_cast<double>(seed % 3);
    world.network().reply_loss = 0.01 * static_cast<double>(seed % 3);
    world.network().request_duplication = 0.01 * static_cast<double>(seed % 5);
    machines_ = {"g1", "g2", "g3", "b1", "b2", "b3", "q1", "q2", "q3", "c1", "c2", "c3"};
  }
  void TestBody() override {}

  void Run() {
    for (int tick = 0; tick < 6000; ++tick) {
      world.RunFor(milliseconds(10));
      CheckLeases();
      if (tick % 25 == 0) {
        CommitHeads();
      }
      if (tick % 70 == 0) {
        InjectFault();
      }
      if (tick % 40 == 0) {
        SubmitConcurrently();
      }
      if (HasFatalFailure()) {
        return;
      }
    }
    HealAll();
    world.network() = NetworkBehaviour();
    world.RunFor(seconds(20));
    CheckLeases();
    CheckRecovered();
  }

  int acknowledged = 0;

 private:
  /// @return the committed state, which is that of any member; nullptr if none runs.
  const ControlState* CommittedState() const {
    const ControlState* state = nullptr;
    for (const auto& [name, member] : members) {
      state = &member->state;  // The fake log applies each command at all members at once.
    }
    return state;
  }

  void CheckLeases() {
    const ControlState* committed = CommittedState();
    for (const auto& [name, node] : nodes) {
      if (committed == nullptr || !node->HasValidLease()) {
        continue;
      }
      const proto::Server* server = committed->servers().Find(NodeId(node->node_id));
      ASSERT_TRUE(server != nullptr && IsLive(*server))
          << name << " has a valid lease under a dead node id";
    }
  }

  void CheckAcknowledged(const proto::TransactionResult& result) {
    ++acknowledged;
    EXPECT_TRUE(versions_.insert(result.version()).second)
        << "two transactions were applied as version " << result.version();
    EXPECT_NE(result.in_force_at_ms(), 0);
    for (const auto& [name, node] : nodes) {
      if (name[0] == 'g' && node->HasValidLease()) {
        EXPECT_GE(node->configuration_version, result.version()) << name;
      }
    }
  }

  void SubmitConcurrently() {
    if (CommittedState() == nullptr) {
      return;
    }
    const std::uint64_t version = CommittedState()->configuration().version().value();
    for (int submission = 0; submission < 2; ++submission) {
      proto::SubmitTransactionRequest request;
      *request.mutable_transaction() =
          MakeTransaction("operation-" + std::to_string(++operations_), version);
      AddTenant(request.mutable_transaction(), "t" + std::to_string(operations_ % 7));
      const Endpoint to =
          group.leader == nullptr ? coordinators[0] : group.leader->leader_endpoint();
      world.CallPeer(to, "coordinator.SubmitTransaction", request.SerializeAsString(), seconds(8),
                     [this](const PeerReply& reply) {
                       proto::SubmitTransactionResponse response;
                       response.ParseFromString(reply.body);
                       if (reply.status.ok() &&
                           response.result().outcome() == proto::TRANSACTION_OUTCOME_APPLIED) {
                         CheckAcknowledged(response.result());
                       }
                     });
    }
  }

  /// Commits a log head for each queue node that has none, with all running backups.
  void CommitHeads() {
    for (const auto& [name, node] : nodes) {
      if (name[0] != 'q' || node->node_id == 0 || group.leader == nullptr) {
        continue;
      }
      proto::CommitHeadRequest request;
      proto::LogHead& head = *request.mutable_head();
      head.set_node_id(node->node_id);
      head.set_segment_id(1);
      head.set_epoch(1);
      proto::StoredSegment stored;
      stored.set_segment_id(1);
      stored.set_epoch(1);
      stored.add_digest(1);
      for (const char* backup : {"b1", "b2", "b3"}) {
        const auto running = nodes.find(backup);
        if (running != nodes.end() && running->second->node_id != 0) {
          head.add_backups(running->second->node_id);
          disks[backup].segments[node->node_id] = {stored};
        }
      }
      if (nodes_with_head_.insert(node->node_id).second && head.backups_size() > 0) {
        world.CallPeer(group.leader->leader_endpoint(), "coordinator.CommitHead",
                       request.SerializeAsString(), seconds(1), [](const PeerReply&) {});
      }
    }
  }

  void InjectFault() {
    const std::string name = machines_[world.RandomBelow(machines_.size())];
    SimulatedMachine& machine = world.machine(name);
    switch (world.RandomBelow(6)) {
      case 0:
        world.Isolate(name);
        break;
      case 1:
        if (machine.running() && frozen_.insert(name).second) {
          machine.Freeze();
        }
        break;
      case 2:
        if (machine.running()) {
          frozen_.erase(name);
          machine.LosePower();
        }
        break;
      case 3:
        HealAll();
        break;
      case 4:
        world.Heal(name);
        WakeOrStart(name);
        break;
      default:
        break;
    }
    if (group.leader == nullptr || world.RandomBelow(4) == 0) {
      ElectRandomLeader();
    }
  }

  void WakeOrStart(const std::string& name) {
    if (frozen_.erase(name) > 0) {
      world.machine(name).Wake();
    }
    if (!world.machine(name).running()) {
      world.machine(name).Start();
    }
  }

  void HealAll() {
    world.HealAll();
    for (const std::string& name : machines_) {
      WakeOrStart(name);
    }
    ElectRandomLeader();
  }

  void ElectRandomLeader() {
    const std::string name = "c" + std::to_string(1 + world.RandomBelow(3));
    if (members.contains(name) && !frozen_.contains(name)) {
      members[name]->log.BecomeLeader();
    }
  }

  void CheckRecovered() {
    const ControlState& state = *CommittedState();
    EXPECT_TRUE(state.partitions().recoveries().empty());
    EXPECT_TRUE(state.partitions().FindFreePartitions().empty());
    EXPECT_EQ(state.configuration().in_force_version(), state.configuration().version());
    for (const auto& [id, partition] : state.partitions().partitions()) {
      EXPECT_NE(state.servers().FindLive(NodeId(partition.owner()), proto::ROLE_QUEUE), nullptr);
    }
    for (const auto& [name, node] : nodes) {
      EXPECT_TRUE(node->HasValidLease()) << name;
    }
    for (const auto& [name, disk] : disks) {
      for (const auto& [owner, segments] : disk.segments) {
        EXPECT_NE(state.servers().FindLive(NodeId(owner), proto::ROLE_QUEUE), nullptr)
            << name << " keeps segments of dead node " << owner;
      }
    }
  }

  std::vector<std::string> machines_;
  std::set<std::string> frozen_;
  std::set<std::uint64_t> versions_;
  std::set<std::uint64_t> nodes_with_head_;
  int operations_ = 0;
};

TEST(CoordinatorFaultsTest, RandomFaultsKeepInvariants) {
  int acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    FaultRun run(seed);
    run.Run();
    acknowledged += run.acknowledged;
    if (testing::Test::HasFailure()) {
      return;
    }
  }
  EXPECT_GT(acknowledged, 200);
}

}  // namespace
}  // namespace cloverbank

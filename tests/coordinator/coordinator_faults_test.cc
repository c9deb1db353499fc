// Random faults: nodes and coordinators freeze, lose power or are partitioned, the leader changes,
// operators race. Safety, checked throughout: no node has a valid lease under a dead id, and when a
// transaction is acknowledged no gateway with a valid lease uses an older version. Liveness,
// checked at the end: everything has recovered.
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
        SubmitRace();
      }
      if (HasFatalFailure()) {
        return;
      }
    }
    HealEverything();
    world.network() = NetworkBehaviour();
    world.RunFor(seconds(20));
    CheckLeases();
    CheckEnd();
  }

  int acknowledged = 0;

 private:
  /// The member that has applied most: what it holds is committed.
  const ControlState* Committed() const {
    const ControlState* newest = nullptr;
    for (const auto& [name, member] : members) {
      newest = &member->state;  // The fake log applies at all members at once.
    }
    return newest;
  }

  void CheckLeases() {
    const ControlState* committed = Committed();
    for (const auto& [name, node] : nodes) {
      if (committed == nullptr || !node->HasValidLease()) {
        continue;
      }
      const proto::Server* server = committed->servers().Find(NodeId(node->node_id));
      ASSERT_TRUE(server != nullptr && IsLive(*server)) << name << " acts under a dead id";
    }
  }

  void CheckAcknowledged(const proto::TransactionResult& result) {
    ++acknowledged;
    EXPECT_TRUE(versions_.insert(result.version()).second) << "two won one version";
    EXPECT_NE(result.in_force_at_ms(), 0);
    for (const auto& [name, node] : nodes) {
      if (name[0] == 'g' && node->HasValidLease()) {
        EXPECT_GE(node->configuration_version, result.version()) << name;
      }
    }
  }

  void SubmitRace() {
    if (Committed() == nullptr) {
      return;
    }
    const std::uint64_t version = Committed()->configuration().version().value();
    for (int racer = 0; racer < 2; ++racer) {
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

  /// Lets each queue node that has none commit a head, on all backups.
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
      if (headed_.insert(node->node_id).second && head.backups_size() > 0) {
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
        HealEverything();
        break;
      case 4:
        world.Heal(name);
        Revive(name);
        break;
      default:
        break;
    }
    if (group.leader == nullptr || world.RandomBelow(4) == 0) {
      Elect();
    }
  }

  void Revive(const std::string& name) {
    if (frozen_.erase(name) > 0) {
      world.machine(name).Wake();
    }
    if (!world.machine(name).running()) {
      world.machine(name).Start();
    }
  }

  void HealEverything() {
    world.HealAll();
    for (const std::string& name : machines_) {
      Revive(name);
    }
    Elect();
  }

  void Elect() {
    const std::string name = "c" + std::to_string(1 + world.RandomBelow(3));
    if (members.contains(name) && !frozen_.contains(name)) {
      members[name]->log.Lead();
    }
  }

  void CheckEnd() {
    const ControlState& state = *Committed();
    EXPECT_TRUE(state.partitions().recoveries().empty());
    EXPECT_TRUE(state.partitions().FindFree().empty());
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
            << name << " keeps leftovers of " << owner;
      }
    }
  }

  std::vector<std::string> machines_;
  std::set<std::string> frozen_;
  std::set<std::uint64_t> versions_;
  std::set<std::uint64_t> headed_;
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

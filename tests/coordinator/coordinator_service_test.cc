// Tests of the coordinator service in the simulated world, on a log that the test controls.
#include "coordinator/coordinator_service.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "coordinator_fixture.h"

namespace cloverbank {
namespace {

using ::testing::Contains;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

using CoordinatorServiceTest = CoordinatorFixture;

TEST_F(CoordinatorServiceTest, FollowerRefusesWithLeaderEndpoint) {
  const auto refused = Submit(MakeTenantTransaction("a"), 1);
  EXPECT_EQ(refused.status().code(), StatusCode::kNotLeader);
  EXPECT_EQ(refused.status().detail(), coordinators[0].ToString());
}

TEST_F(CoordinatorServiceTest, LeaderWithoutLeaseRefuses) {
  group.has_leader_lease = false;
  EXPECT_EQ(Submit(MakeTenantTransaction("a")).status().code(), StatusCode::kNotLeader);
}

TEST_F(CoordinatorServiceTest, ListSourcesAreEarlierGatewaysOfZone) {
  for (const char* name : {"g1", "g2", "g3", "g4", "g5"}) {
    Add(proto::ROLE_GATEWAY, name);
  }
  world.RunFor(seconds(2));
  std::map<std::uint64_t, const TestNode*> by_id;
  for (const auto& [name, node] : nodes) {
    by_id[node->node_id] = node;
  }
  std::vector<std::string> earlier_hosts;
  for (const auto& [id, node] : by_id) {
    std::vector<std::string> sources;
    for (const proto::Endpoint& source : node->list_sources) {
      sources.push_back(source.host());
    }
    EXPECT_EQ(sources, std::vector(earlier_hosts.begin(),
                                   earlier_hosts.begin() +
                                       std::min<std::ptrdiff_t>(3, std::ssize(earlier_hosts))));
    earlier_hosts.push_back(node->host());
  }
}

TEST_F(CoordinatorServiceTest, FirstGatewayOfZoneGetsRemoteListSources) {
  int number = 0;
  for (const char* zone : {"a", "b", "a", "c", "d", "b", "e"}) {
    Add(proto::ROLE_GATEWAY, "g" + std::to_string(++number), zone);
    world.RunFor(milliseconds(300));
  }
  world.RunFor(seconds(2));
  const auto remote = [this](const std::string& name) {
    std::vector<std::string> sources;
    for (const proto::Endpoint& source : nodes[name]->remote_list_sources) {
      sources.push_back(source.host());
    }
    return sources;
  };
  const std::vector<std::string> firsts = {nodes["g1"]->host(), nodes["g2"]->host(),
                                           nodes["g4"]->host()};
  EXPECT_EQ(remote("g1"), std::vector<std::string>());
  EXPECT_EQ(remote("g2"), std::vector(firsts.begin(), firsts.begin() + 1));
  EXPECT_EQ(remote("g3"), std::vector<std::string>()) << "it has list sources in its zone";
  EXPECT_EQ(remote("g4"), std::vector(firsts.begin(), firsts.begin() + 2));
  EXPECT_EQ(remote("g7"), firsts) << "at most three";
}

/// Gateways in some of the zones "a", "b" and "c" of region "south" and "d" of region "north".
class ZonesWithoutGatewayTest : public CoordinatorServiceTest {
 protected:
  void SetUp() override {
    auto transaction = MakeTransaction("zones", state().configuration().version().value());
    for (const std::string name : {"a", "b", "c", "d"}) {
      proto::Zone& zone = *transaction.add_changes()->mutable_set_zone();
      zone.set_name(name);
      zone.set_state(proto::ZONE_STATE_OPEN);
      zone.set_region(name == "d" ? "north" : "south");
    }
    const auto result = Submit(transaction);
    ASSERT_TRUE(result.ok()) << result.status().ToString();
    ASSERT_EQ(result->result().problems_size(), 0) << result->result().problems(0);
  }
  /// @return the gateway's ranks as "zone:index/count".
  std::vector<std::string> Ranks(const std::string& gateway) {
    std::vector<std::string> ranks;
    for (const proto::ZoneRank& rank : nodes[gateway]->zones_without_gateway) {
      ranks.push_back(rank.zone() + ":" + std::to_string(rank.gateway_index()) + "/" +
                      std::to_string(rank.gateway_count()));
    }
    return ranks;
  }
};

// Guards against batch items that never run, since no gateway has a quota of the replicas of a zone
// without gateways (KNOWN-RED 15).
TEST_F(ZonesWithoutGatewayTest, GatewaysOfTheRegionServeThem) {
  Add(proto::ROLE_GATEWAY, "g1", "a");
  Add(proto::ROLE_GATEWAY, "g2", "b");
  Add(proto::ROLE_GATEWAY, "g3", "d");
  world.RunFor(seconds(2));
  const std::vector<std::string> first = Ranks("g1");
  const std::vector<std::string> second = Ranks("g2");
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(first.front().substr(0, 2), "c:");
  EXPECT_NE(first, second) << "each has another rank";
  EXPECT_EQ(first.front().back(), '2');
  EXPECT_TRUE(Ranks("g3").empty()) << "the region of zone c has gateways of its own";

  Add(proto::ROLE_GATEWAY, "g4", "c");
  world.RunFor(seconds(2));
  EXPECT_TRUE(Ranks("g1").empty()) << "a zone with a gateway is served by it alone";
  EXPECT_TRUE(Ranks("g4").empty());
}

TEST_F(ZonesWithoutGatewayTest, AllGatewaysServeARegionWithoutAny) {
  Add(proto::ROLE_GATEWAY, "g1", "a");
  world.RunFor(seconds(2));
  EXPECT_EQ(Ranks("g1"), (std::vector<std::string>{"b:0/1", "c:0/1", "d:0/1"}));
}

TEST_F(CoordinatorServiceTest, AcknowledgesOnceAllGatewaysConfirm) {
  Add(proto::ROLE_GATEWAY, "g1");
  Add(proto::ROLE_GATEWAY, "g2");
  world.RunFor(seconds(5));
  const TimePoint sent = world.Now();
  const auto answer = Submit(MakeTenantTransaction("a"));
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer->result().outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_NE(answer->result().in_force_at_ms(), 0);
  EXPECT_LT(Elapsed(sent), milliseconds(400));
  EXPECT_EQ(nodes["g1"]->configuration_version, 2U);
  EXPECT_EQ(nodes["g2"]->configuration_version, 2U);
  const auto reused =
      Submit(MakeTenantTransaction("a"));  // Another content: expected_version is higher now.
  EXPECT_EQ(reused->result().outcome(), proto::TRANSACTION_OUTCOME_INVALID);
}

TEST_F(CoordinatorServiceTest, AcknowledgesOnceIsolatedGatewayLosesLease) {
  Add(proto::ROLE_GATEWAY, "g1");
  world.RunFor(seconds(5));
  world.Isolate("g1");
  const auto transaction = MakeTenantTransaction("a");
  const auto answer = Submit(transaction);
  ASSERT_TRUE(answer.ok());
  EXPECT_FALSE(nodes["g1"]->HasValidLease());
  EXPECT_EQ(Submit(transaction)->SerializeAsString(), answer->SerializeAsString());
}

TEST_F(CoordinatorServiceTest, GatewayWithoutConfirmationDelaysByOneLeaseAtMost) {
  Add(proto::ROLE_GATEWAY, "g1");
  world.RunFor(seconds(5));
  nodes["g1"]->confirms_versions = false;
  const TimePoint sent = world.Now();
  ASSERT_TRUE(Submit(MakeTenantTransaction("a")).ok());
  EXPECT_GE(world.Now(), nodes["g1"]->old_lease_end);
  EXPECT_LT(Elapsed(sent), milliseconds(3100));
}

TEST_F(CoordinatorServiceTest, ResendToNewLeaderWaitsForUnknownLeases) {
  Add(proto::ROLE_GATEWAY, "g1");
  world.RunFor(seconds(5));
  world.Isolate("g1");
  const auto transaction = MakeTenantTransaction("a");
  std::optional<PeerReply> first;
  proto::SubmitTransactionRequest request;
  *request.mutable_transaction() = transaction;
  world.CallPeer(coordinators[0], "coordinator.SubmitTransaction", request.SerializeAsString(),
                 seconds(9), [&first](PeerReply reply) { first = std::move(reply); });
  world.RunFor(milliseconds(500));
  EXPECT_FALSE(first.has_value()) << "the transaction is committed but not in force";
  members["c2"]->log.BecomeLeader();
  const TimePoint began = world.Now();
  world.RunFor(milliseconds(100));
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->status.code(), StatusCode::kNotLeader);
  const auto answer = Submit(transaction, 1);
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer->result().outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_GE(Elapsed(began), seconds(3));
  EXPECT_FALSE(nodes["g1"]->HasValidLease());
}

TEST_F(CoordinatorServiceTest, FencesUnknownIdsAndOtherIncarnations) {
  Add(proto::ROLE_QUEUE, "q1");
  world.RunFor(seconds(1));
  proto::HeartbeatRequest heartbeat;
  heartbeat.set_node_id(999);
  const auto send_heartbeat = [&] {
    return Call<proto::HeartbeatResponse>(coordinators[0], "coordinator.Heartbeat", heartbeat)
        .status()
        .code();
  };
  EXPECT_EQ(send_heartbeat(), StatusCode::kFenced);
  heartbeat.set_node_id(nodes["q1"]->node_id);
  EXPECT_EQ(send_heartbeat(), StatusCode::kFenced) << "another incarnation";
}

TEST_F(CoordinatorServiceTest, FrozenNodeDiesAfterLeaseAndIsFenced) {
  SimulatedMachine& machine = Add(proto::ROLE_QUEUE, "q1");
  world.RunFor(seconds(3));
  const std::uint64_t id = nodes["q1"]->node_id;
  machine.Freeze();
  const TimePoint frozen = world.Now();
  while (!IsDead(id) && Elapsed(frozen) < seconds(9)) {
    world.RunFor(milliseconds(10));
  }
  EXPECT_GE(world.Now(), nodes["q1"]->lease_end);
  EXPECT_LT(Elapsed(frozen), seconds(4));
  machine.Wake();
  world.RunFor(seconds(2));
  EXPECT_EQ(nodes["q1"]->fenced_count, 1);
  EXPECT_NE(nodes["q1"]->node_id, id);
}

// The node's heartbeat arrives between the proposal of its death and the commit of that proposal.
TEST_F(CoordinatorServiceTest, NodeWithPendingDeathGetsNoLease) {
  SimulatedMachine& machine = Add(proto::ROLE_QUEUE, "q1");
  world.RunFor(seconds(3));
  const std::uint64_t id = nodes["q1"]->node_id;
  machine.Freeze();
  world.RunFor(seconds(2));
  group.commit_delay = seconds(3);
  world.RunFor(seconds(2));
  ASSERT_FALSE(IsDead(id));
  machine.Wake();
  while (!IsDead(id)) {
    world.RunFor(milliseconds(10));
    ASSERT_FALSE(nodes["q1"]->HasValidLease());
  }
}

TEST_F(CoordinatorServiceTest, LeaderPauseDeclaresNoNodeDead) {
  Add(proto::ROLE_QUEUE, "q1");
  world.RunFor(seconds(3));
  const std::uint64_t id = nodes["q1"]->node_id;
  group.has_leader_lease = false;
  world.RunFor(seconds(20));
  EXPECT_FALSE(nodes["q1"]->HasValidLease());
  group.has_leader_lease = true;
  world.RunFor(seconds(5));
  world.machine("c1").Freeze();
  world.RunFor(seconds(20));
  world.machine("c1").Wake();
  world.RunFor(seconds(5));
  EXPECT_FALSE(IsDead(id));
  EXPECT_TRUE(nodes["q1"]->HasValidLease());
}

TEST_F(CoordinatorServiceTest, QueueNodesStartedCloseTogetherSharePartitions) {
  for (const char* name : {"q1", "q2"}) {
    Add(proto::ROLE_QUEUE, name);
    world.RunFor(milliseconds(300));
  }
  world.RunFor(seconds(2));
  EXPECT_EQ(CountOwned("q1"), 2U);
  EXPECT_EQ(CountOwned("q2"), 2U);
}

TEST_F(CoordinatorServiceTest, RecoverySurvivesLeaderChange) {
  SimulatedMachine& store = Add(proto::ROLE_QUEUE, "q1");
  Add(proto::ROLE_BACKUP, "b1");
  world.RunFor(seconds(3));
  CommitHead("q1", "b1");
  const std::uint64_t dead = nodes["q1"]->node_id;
  Add(proto::ROLE_QUEUE, "q2");
  world.RunFor(seconds(1));
  nodes["q2"]->finishes_replays = false;
  store.LosePower();
  world.RunFor(seconds(6));
  EXPECT_EQ(state().partitions().recoveries().at(NodeId(dead)).phase(),
            proto::RECOVERY_PHASE_REPLAYING);
  EXPECT_THAT(FleetStatus().problems(), Contains(HasSubstr("to replay 4 partitions")));
  members["c3"]->log.BecomeLeader();
  nodes["q2"]->finishes_replays = true;
  world.RunFor(seconds(2));
  EXPECT_EQ(CountOwned("q2"), 4U);
  EXPECT_THAT(state().partitions().recoveries(), IsEmpty());
  EXPECT_TRUE(disks["b1"].fenced.contains(dead));
  EXPECT_FALSE(disks["b1"].segments.contains(dead));
}

TEST_F(CoordinatorServiceTest, SweepsBackupThatMissedRelease) {
  SimulatedMachine& store = Add(proto::ROLE_QUEUE, "q1");
  Add(proto::ROLE_BACKUP, "b1");
  SimulatedMachine& restarted_backup = Add(proto::ROLE_BACKUP, "b2");
  world.RunFor(seconds(3));
  CommitHead("q1", "b1");
  const std::uint64_t dead = nodes["q1"]->node_id;
  disks["b2"].segments[dead] = disks["b1"].segments[dead];
  restarted_backup.LosePower();
  world.RunFor(seconds(5));
  EXPECT_THAT(FleetStatus().problems(), Contains(HasSubstr("the backup on b2")));
  store.LosePower();
  Add(proto::ROLE_QUEUE, "q2");
  world.RunFor(seconds(8));
  EXPECT_EQ(CountOwned("q2"), 4U);
  restarted_backup.Start();
  world.RunFor(seconds(1));
  EXPECT_FALSE(disks["b2"].segments.contains(dead));
}

TEST_F(CoordinatorServiceTest, RetiringUnknownMachineIsNotFound) {
  Add(proto::ROLE_BACKUP, "b1");
  world.RunFor(seconds(3));
  proto::RetireServerRequest request;
  request.set_machine("nobody");
  EXPECT_EQ(Call<proto::RetireServerResponse>(coordinators[0], "coordinator.RetireServer", request)
                .status()
                .code(),
            StatusCode::kNotFound);
}

TEST_F(CoordinatorServiceTest, RetiredMachineHandsOverPartitions) {
  Add(proto::ROLE_QUEUE, "q1");
  Add(proto::ROLE_BACKUP, "b1");
  world.RunFor(seconds(3));
  CommitHead("q1", "b1");
  Add(proto::ROLE_QUEUE, "q2");
  world.RunFor(seconds(1));
  proto::RetireServerRequest request;
  request.set_machine("q1");
  const auto retired =
      Call<proto::RetireServerResponse>(coordinators[0], "coordinator.RetireServer", request);
  ASSERT_TRUE(retired.ok());
  EXPECT_EQ(retired->node_ids_size(), 1);
  world.RunFor(seconds(2));
  EXPECT_EQ(CountOwned("q2"), 4U);
  EXPECT_TRUE(nodes["q1"]->HasValidLease());
  EXPECT_THAT(FleetStatus().problems(), Contains(HasSubstr("machine q1 is empty; stop it")));
}

}  // namespace
}  // namespace cloverbank

#include "control_client/node_agent.h"

#include <gtest/gtest.h>

#include "control_client/fake_control.h"

namespace cloverbank {
namespace {

class NodeAgentTest : public testing::Test {
 protected:
  NodeAgentTest() {
    seeds = AddFakeCoordinators(world, control);
    world.AddMachine("g", "10.0.0.1").SetProgram([this](Environment& environment, DataFolder&) {
      NodeAgentOptions options;
      options.role = proto::ROLE_GATEWAY;
      options.machine = "g";
      options.coordinators = seeds;
      auto created = std::make_shared<NodeAgent>(environment, options);
      agent = created.get();
      agent->OnFenced([this] {
        ++fence_count;
        lease_valid_when_fenced = agent->HasValidLease();
      });
      agent->OnConfiguration(
          [this] { applied_versions.push_back(agent->configuration().version()); });
      agent->Start();
      return created;
    });
  }

  /// Starts the node and waits until it has a lease.
  void Join() {
    world.machine("g").Start();
    ASSERT_TRUE(world.RunUntil([this] { return agent->HasValidLease(); }, seconds(5)));
  }
  /// @return whether the node has a lease within `limit`.
  bool WaitForLease(Duration limit) {
    return world.RunUntil([this] { return agent->HasValidLease(); }, limit);
  }

  /// Submits an empty transaction to the leader and stores the status code of the result in
  /// `outcome`.
  void Submit(Duration deadline) {
    agent->CallLeader<proto::SubmitTransactionResponse>(
        "coordinator.SubmitTransaction", proto::SubmitTransactionRequest(), deadline,
        [this](const Result<proto::SubmitTransactionResponse>& result) {
          outcome = result.status().code();
        });
  }

  FakeControl control;
  std::vector<Endpoint> seeds;
  NodeAgent* agent = nullptr;
  StatusCode outcome = StatusCode::kInternal;
  int fence_count = 0;
  bool lease_valid_when_fenced = false;
  std::vector<std::uint64_t> applied_versions;
  SimulatedWorld world{7};
};

TEST_F(NodeAgentTest, FollowsALeaderHintAndRenewsItsLease) {
  control.leader = "c3";
  Join();
  EXPECT_EQ(agent->node_id(), NodeId(1));
  EXPECT_EQ(agent->partition_count(), 12U);
  EXPECT_EQ(agent->coordinators().front(), seeds[2]);
  for (int step = 0; step < 100; ++step) {
    world.RunFor(milliseconds(100));
    ASSERT_TRUE(agent->HasValidLease());
  }
  EXPECT_EQ(control.registrations.size(), 1U);
}

TEST_F(NodeAgentTest, FindsTheLeaderWithoutHints) {
  control.leader = "c3";
  control.sends_leader_hints = false;
  world.machine("c1").Kill();
  world.machine("g").Start();
  EXPECT_TRUE(WaitForLease(seconds(3)));
}

TEST_F(NodeAgentTest, LeaseStartsWhenTheHeartbeatIsSent) {
  Join();
  const std::size_t heartbeats_before = control.heartbeats.size();
  ASSERT_TRUE(
      world.RunUntil([&] { return control.heartbeats.size() > heartbeats_before; }, seconds(1)));
  const TimePoint arrived = world.Now();  // The node sent it 1 to 5 ms earlier.
  world.RunFor(milliseconds(830));        // Longer than the hold of 800 ms.
  const Duration usable = milliseconds(kFakeLeaseMs) * 99 / 100;
  EXPECT_LE(agent->lease_end(), arrived + usable - milliseconds(1));
  EXPECT_GE(agent->lease_end(), arrived + usable - milliseconds(5));
  world.Isolate("g");
  world.RunFor(agent->lease_end() - world.Now() - milliseconds(1));
  EXPECT_TRUE(agent->HasValidLease());
  world.RunFor(milliseconds(1));
  EXPECT_FALSE(agent->HasValidLease());
}

TEST_F(NodeAgentTest, SuspendedNodeResumesWithoutALease) {
  Join();
  world.machine("g").Freeze();
  world.RunFor(seconds(25));
  EXPECT_FALSE(agent->HasValidLease()) << "the lease must be invalid before a coordinator answers";
  world.machine("g").Wake();
  EXPECT_FALSE(agent->HasValidLease());
  ASSERT_TRUE(WaitForLease(seconds(2)));
  EXPECT_EQ(agent->node_id(), NodeId(1)) << "the coordinators still know the node id";
  EXPECT_EQ(fence_count, 0);
}

TEST_F(NodeAgentTest, FencedNodeRegistersUnderAFreshId) {
  Join();
  const Incarnation incarnation = agent->incarnation();
  control.live_incarnations.clear();
  ASSERT_TRUE(world.RunUntil([this] { return agent->node_id() == NodeId(2); }, seconds(3)));
  EXPECT_EQ(fence_count, 1);
  EXPECT_FALSE(lease_valid_when_fenced);
  ASSERT_EQ(control.registrations.size(), 2U);
  EXPECT_EQ(control.registrations[1].previous_node_id(), 1U);
  EXPECT_EQ(control.registrations[1].server().incarnation(), incarnation.value());
  EXPECT_TRUE(WaitForLease(seconds(1)));
}

TEST_F(NodeAgentTest, AbandonedIdIsInvalidAtOnce) {
  Join();
  agent->AbandonNodeId("a backup refused it as fenced");
  EXPECT_FALSE(agent->HasValidLease());
  EXPECT_FALSE(agent->node_id().valid());
  EXPECT_EQ(fence_count, 1);
  ASSERT_TRUE(WaitForLease(seconds(2)));
  EXPECT_EQ(control.registrations[1].previous_node_id(), 1U);
}

TEST_F(NodeAgentTest, ConfirmsANewConfigurationWithoutDelay) {
  Join();
  world.RunFor(milliseconds(200));
  control.AddRoute("narrate");
  const auto confirmed = [this] { return control.heartbeats.back().configuration_version() == 1; };
  ASSERT_TRUE(world.RunUntil(confirmed, milliseconds(40)));
  EXPECT_EQ(agent->configuration().routes(0).name(), "narrate");
  control.AddRoute("describe");  // The minimum interval does not delay a confirmation.
  const auto confirmed_again = [this] {
    return control.heartbeats.back().configuration_version() == 2;
  };
  EXPECT_TRUE(world.RunUntil(confirmed_again, milliseconds(21)));
}

TEST_F(NodeAgentTest, RequestsAFullUpdateAfterAGap) {
  Join();
  control.AddRoute("a");
  world.RunFor(milliseconds(100));
  const TimePoint end = agent->lease_end();
  control.AddRoute("b");
  control.AddRoute("c");
  control.skip_one_delta = true;
  ASSERT_TRUE(world.RunUntil([this] { return !control.skip_one_delta; }, seconds(1)));
  world.RunFor(milliseconds(7));
  EXPECT_EQ(agent->configuration().version(), 1U);
  EXPECT_EQ(agent->lease_end(), end) << "a refused update must not renew the lease";
  ASSERT_TRUE(world.RunUntil([this] { return agent->configuration().version() == 3; }, seconds(1)));
  EXPECT_EQ(agent->configuration().routes_size(), 3);
  EXPECT_EQ(applied_versions, (std::vector<std::uint64_t>{1, 3}));
}

TEST_F(NodeAgentTest, RejectsOlderVersions) {
  Join();
  control.AddRoute("a");
  control.AddRoute("b");
  world.RunFor(milliseconds(100));
  ASSERT_EQ(agent->configuration().version(), 2U);
  control.configuration_version = 1;  // As if the coordinators had lost their newest state.
  control.changes.pop_back();
  world.RunFor(seconds(2));
  EXPECT_EQ(agent->configuration().version(), 2U);
  EXPECT_EQ(agent->configuration().routes_size(), 2);
}

TEST_F(NodeAgentTest, LimitsTheRateOfHeartbeatsThatAreAnsweredImmediately) {
  Join();
  control.AddRoute("a");
  control.AddRoute("b");
  world.RunFor(milliseconds(100));
  // From here on the versions differ, so every heartbeat is answered immediately.
  control.configuration_version = 1;
  const std::size_t heartbeats_before = control.heartbeats.size();
  world.RunFor(seconds(1));
  EXPECT_LE(control.heartbeats.size() - heartbeats_before, 21U);
}

TEST_F(NodeAgentTest, KeepsItsLeaseAfterAllSeedsAreReplaced) {
  const Endpoint replacement = world.AddMachine("c9", "10.0.1.9").endpoint();
  proto::Endpoint member;
  member.set_host(replacement.host);
  member.set_port(replacement.port);
  control.members.push_back(member);
  Join();
  world.RunFor(seconds(1));
  control.leader = "c9";
  control.sends_leader_hints = false;
  world.machine("c9").SetProgram([this](Environment& environment, DataFolder&) {
    return std::make_shared<FakeCoordinator>(environment, "c9", control,
                                             std::map<std::string, Endpoint>());
  });
  world.machine("c9").Start();
  for (const char* name : {"c1", "c2", "c3"}) {
    world.machine(name).LosePower();
  }
  for (int step = 0; step < 60; ++step) {
    world.RunFor(milliseconds(100));
    ASSERT_TRUE(agent->HasValidLease());
  }
}

TEST_F(NodeAgentTest, KeepsItsLeaseWhileTheLeaderIsIsolated) {
  Join();
  world.RunFor(milliseconds(1500));
  world.Isolate("c1");
  world.ScheduleAfter(milliseconds(800), [this] { control.leader = "c2"; });
  for (int step = 0; step < 100; ++step) {
    world.RunFor(milliseconds(50));
    ASSERT_TRUE(agent->HasValidLease());
  }
}

TEST_F(NodeAgentTest, RecoversFromAnOutageOfAllCoordinators) {
  Join();
  for (const char* name : {"c1", "c2", "c3"}) {
    world.machine(name).LosePower();
  }
  world.RunFor(seconds(20));
  EXPECT_FALSE(agent->HasValidLease());
  for (const char* name : {"c1", "c2", "c3"}) {
    world.machine(name).Start();
  }
  EXPECT_TRUE(WaitForLease(seconds(1)));
  EXPECT_EQ(agent->node_id(), NodeId(1));
}

TEST_F(NodeAgentTest, ReportsASuspectDuringALongPoll) {
  Join();
  world.RunFor(milliseconds(300));
  agent->ReportSuspect(NodeId(77));
  const auto reported = [this] { return control.heartbeats.back().suspected_node_ids_size() == 1; };
  EXPECT_TRUE(world.RunUntil(reported, milliseconds(20)));
  world.RunFor(seconds(2));
  EXPECT_EQ(control.heartbeats.back().suspected_node_ids_size(), 0)
      << "a confirmed suspect must not be reported again";
}

TEST_F(NodeAgentTest, LeaderCallSucceedsAfterAnElection) {
  Join();
  control.leader = "nobody";
  world.ScheduleAfter(milliseconds(700), [this] { control.leader = "c2"; });
  Submit(seconds(5));
  world.RunFor(seconds(2));
  EXPECT_EQ(outcome, StatusCode::kOk);
}

TEST_F(NodeAgentTest, RefusedLeaderCallIsUnavailableAtItsDeadline) {
  Join();
  control.leader = "nobody";
  Submit(seconds(1));
  world.RunFor(milliseconds(1010));
  EXPECT_EQ(outcome, StatusCode::kUnavailable) << "no member executed the request";
}

TEST_F(NodeAgentTest, UnansweredLeaderCallHasAnUnknownOutcome) {
  Join();
  world.Isolate("g");
  Submit(seconds(1));
  world.RunFor(milliseconds(1010));
  EXPECT_EQ(outcome, StatusCode::kUnknownOutcome);
}

}  // namespace
}  // namespace cloverbank

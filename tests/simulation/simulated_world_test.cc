#include "simulation/simulated_world.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cloverbank {
namespace {

/// Echoes request bodies, counts the requests it served, and can withhold its replies.
struct EchoProgram {
  EchoProgram(Environment& environment_in, DataFolder& folder_in)
      : environment(environment_in), folder(folder_in) {
    environment.RegisterPeerMethod(
        "echo", [this](const PeerRequest& request, PeerReplyCallback reply) {
          ++served;
          if (withhold_replies) {
            withheld_replies.push_back(std::move(reply));
          } else {
            reply({Status::Ok(), request.body + "@" + request.peer_address});
          }
        });
  }

  Environment& environment;
  DataFolder& folder;
  int served = 0;
  bool withhold_replies = false;
  std::vector<PeerReplyCallback> withheld_replies;
};

class SimulatedWorldTest : public testing::Test {
 protected:
  SimulatedWorldTest() {
    for (const char* name : {"a", "b"}) {
      SimulatedMachine& machine = world.AddMachine(name, std::string("10.0.0.") + name);
      machine.SetProgram([this, name](Environment& environment, DataFolder& folder) {
        auto program = std::make_shared<EchoProgram>(environment, folder);
        (name[0] == 'a' ? a : b) = program.get();
        return program;
      });
      machine.Start();
    }
  }

  void Call(Duration deadline = seconds(1)) {
    replies.clear();
    a->environment.CallPeer(world.machine("b").endpoint(), "echo", "hi", deadline,
                            [this](PeerReply reply) { replies.push_back(std::move(reply)); });
  }
  StatusCode SingleReplyCode() const {
    return replies.size() == 1 ? replies[0].status.code() : StatusCode::kInternal;
  }

  std::vector<PeerReply> replies;
  EchoProgram* a = nullptr;
  EchoProgram* b = nullptr;
  SimulatedWorld world{1};
};

TEST_F(SimulatedWorldTest, ReplyArrivesAfterNetworkDelay) {
  Call();
  EXPECT_TRUE(replies.empty());
  ASSERT_TRUE(world.RunUntil([this] { return !replies.empty(); }, seconds(1)));
  EXPECT_TRUE(replies[0].status.ok());
  EXPECT_EQ(replies[0].body, "hi@10.0.0.a");
  world.RunFor(seconds(5));
  EXPECT_EQ(replies.size(), 1U);
}

TEST_F(SimulatedWorldTest, StoppedProcessRefusesConnections) {
  world.machine("b").Kill();
  Call();
  world.RunFor(milliseconds(20));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnavailable);
}

TEST_F(SimulatedWorldTest, CutLosesMessagesInOneDirection) {
  world.Cut("b", "a");
  Call();
  world.RunFor(milliseconds(999));
  EXPECT_TRUE(replies.empty());
  EXPECT_EQ(b->served, 1);
  world.RunFor(milliseconds(1));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
  world.HealAll();
  world.Cut("a", "b");
  Call();
  world.RunFor(seconds(2));
  EXPECT_EQ(b->served, 1);
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
  world.Heal("a");
  Call();
  world.RunFor(seconds(1));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kOk);
}

TEST_F(SimulatedWorldTest, FrozenCalleeServesAfterWake) {
  world.machine("b").Freeze();
  Call();
  world.RunFor(seconds(2));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
  EXPECT_EQ(b->served, 0);
  world.machine("b").Wake();
  world.RunFor(seconds(1));
  EXPECT_EQ(b->served, 1);
  EXPECT_EQ(replies.size(), 1U);
}

TEST_F(SimulatedWorldTest, WakeRunsDueTimersInOrder) {
  std::vector<int> ran;
  a->environment.ScheduleAfter(milliseconds(20), [&ran] { ran.push_back(2); });
  a->environment.ScheduleAfter(milliseconds(10), [&ran] { ran.push_back(1); });
  const TimerId cancelled =
      a->environment.ScheduleAfter(milliseconds(15), [&ran] { ran.push_back(9); });
  a->environment.ScheduleAfter(seconds(5), [&ran] { ran.push_back(3); });
  a->environment.CancelTimer(cancelled);
  world.machine("a").Freeze();
  world.RunFor(seconds(1));
  EXPECT_TRUE(ran.empty());
  world.machine("a").Wake();
  world.RunFor(Duration::zero());
  EXPECT_EQ(ran, (std::vector<int>{1, 2}));
  world.RunFor(seconds(5));
  EXPECT_EQ(ran, (std::vector<int>{1, 2, 3}));
}

TEST_F(SimulatedWorldTest, KillBreaksConnectionsButPowerLossDoesNot) {
  b->withhold_replies = true;
  Call();
  world.RunFor(milliseconds(10));
  world.machine("b").Kill();
  world.RunFor(milliseconds(10));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);

  world.machine("b").Start();
  b->withhold_replies = true;
  Call();
  world.RunFor(milliseconds(10));
  world.machine("b").LosePower();
  world.RunFor(milliseconds(900));
  EXPECT_TRUE(replies.empty());
  world.RunFor(milliseconds(100));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
}

TEST_F(SimulatedWorldTest, CallbacksOfAnEndedProcessNeverRun) {
  int ran = 0;
  a->environment.ScheduleAfter(milliseconds(5), [&ran] { ++ran; });
  a->folder.Append("log", "x", [&ran](const Status&) { ++ran; });
  a->environment.CallPeer(world.machine("b").endpoint(), "echo", "", seconds(1),
                          [&ran](const PeerReply&) { ++ran; });
  b->withhold_replies = true;
  world.RunFor(milliseconds(0));
  world.machine("a").Kill();
  world.machine("a").Start();
  world.RunFor(seconds(2));
  EXPECT_EQ(ran, 0);
  // A reply callback that outlives the process run it belongs to sends nothing.
  Call();
  world.RunFor(milliseconds(20));
  const auto kept = b->withheld_replies;
  ASSERT_FALSE(kept.empty());
  world.machine("b").Kill();
  world.machine("b").Start();
  kept.back()({Status::Ok(), "late"});
  world.RunFor(seconds(2));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
  EXPECT_EQ(b->served, 0);
}

TEST_F(SimulatedWorldTest, ProcessMayEndWithinItsOwnCallback) {
  const auto alive = std::make_shared<int>(0);
  a->environment.ScheduleAfter(milliseconds(1), [this, alive] {
    world.machine("a").Kill();
    a->environment.ScheduleAfter(milliseconds(1), [alive] { ++*alive; });
  });
  world.RunFor(seconds(1));
  EXPECT_FALSE(world.machine("a").running());
  EXPECT_EQ(*alive, 0);
  EXPECT_EQ(alive.use_count(), 1);
}

TEST_F(SimulatedWorldTest, DuplicatedRequestIsServedTwiceAndAnsweredOnce) {
  world.network().request_duplication = 1;
  Call();
  world.RunFor(seconds(2));
  EXPECT_EQ(b->served, 2);
  EXPECT_EQ(SingleReplyCode(), StatusCode::kOk);
}

TEST_F(SimulatedWorldTest, LostMessagesEndWithUnknownOutcome) {
  world.network().request_loss = 1;
  Call();
  world.RunFor(seconds(2));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
  EXPECT_EQ(b->served, 0);
  world.network().request_loss = 0;
  world.network().reply_loss = 1;
  Call();
  world.RunFor(seconds(2));
  EXPECT_EQ(SingleReplyCode(), StatusCode::kUnknownOutcome);
  EXPECT_EQ(b->served, 1);
}

TEST_F(SimulatedWorldTest, UnavailableMeansTheRequestWasNotExecuted) {
  world.network() = {.request_loss = 0.1, .reply_loss = 0.1, .request_duplication = 0.5};
  int refused = 0;
  for (int round = 0; round < 2000; ++round) {
    if (!world.machine("b").running()) {
      world.machine("b").Start();
    }
    b->served = 0;
    Call(milliseconds(50));
    int served = 0;
    world.ScheduleAfter(milliseconds(world.RandomBelow(6)), [this, &served] {
      served = b->served;
      world.machine("b").Kill();
    });
    world.ScheduleAfter(milliseconds(6 + world.RandomBelow(4)),
                        [this] { world.machine("b").Start(); });
    world.RunFor(milliseconds(100));
    served += b->served;
    ASSERT_EQ(replies.size(), 1U);
    if (SingleReplyCode() == StatusCode::kUnavailable) {
      ++refused;
      ASSERT_EQ(served, 0) << "round " << round;
    }
  }
  EXPECT_GT(refused, 50);
}

/// @return the times and replies of all calls of a run with network faults, to compare runs.
std::string Trace(std::uint64_t seed) {
  SimulatedWorld world(seed);
  world.network() = {.request_loss = 0.2, .reply_loss = 0.2, .request_duplication = 0.2};
  std::string trace;
  world.AddMachine("b", "10.0.0.2").SetProgram([](Environment& environment, DataFolder& folder) {
    return std::make_shared<EchoProgram>(environment, folder);
  });
  world.machine("b").Start();
  for (int call = 0; call < 100; ++call) {
    world.CallPeer(world.machine("b").endpoint(), "echo", std::to_string(call), milliseconds(100),
                   [&trace, &world](const PeerReply& reply) {
                     trace += std::to_string(world.Now().time_since_epoch().count()) + " " +
                              reply.body + reply.status.ToString() + "\n";
                   });
  }
  world.RunFor(seconds(1));
  return trace;
}

TEST(SimulatedWorldSeedTest, SameSeedGivesTheSameRun) {
  EXPECT_EQ(Trace(7), Trace(7));
  EXPECT_NE(Trace(7), Trace(8));
}

}  // namespace
}  // namespace cloverbank

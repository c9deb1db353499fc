#include <set>

#include "consensus/raft_core_fixture.h"

namespace cloverbank {
namespace {

TEST_F(RaftCoreTest, RefusesChangesBeforeAnEntryOfItsTerm) {
  Elect();
  EXPECT_EQ(core_->AdmitMember(now_, Member(13), 0).code(), StatusCode::kUnavailable);
}

TEST_F(RaftCoreTest, FullGroupAdmitsOnlyReplacements) {
  Lead();
  EXPECT_EQ(core_->AdmitMember(now_, Member(14), 0).code(), StatusCode::kConflict);
  EXPECT_EQ(core_->AdmitMember(now_, Member(11), 0).code(), StatusCode::kConflict);
  EXPECT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
}

/// A machine is replaced by an empty one at another address: without this the group goes on with
/// two voters, and the next loss stops it.
TEST_F(RaftCoreTest, ReplacesAnUnresponsiveVoter) {
  options_.replace_unresponsive_after = seconds(2);
  Restart();
  Lead();
  Exchange(Heartbeat(), {2, 3});
  EXPECT_EQ(core_->AdmitMember(now_, Member(14), 0).code(), StatusCode::kConflict);
  for (int round = 0; round < 30; ++round) {
    Exchange(Heartbeat(), {2});  // Member 3 is silent.
  }
  ASSERT_TRUE(core_->AdmitMember(now_, Member(14), 0).ok());
  for (int round = 0; round < 4; ++round) {
    Exchange(Heartbeat(), {2, 14});
  }
  std::set<std::uint64_t> members;
  for (const proto::RaftMember& member : core_->configuration().members()) {
    EXPECT_FALSE(member.learner());
    members.insert(member.member_id());
  }
  EXPECT_EQ(members, (std::set<std::uint64_t>{1, 2, 14}));
}

TEST_F(RaftCoreTest, AdmitsOneSuccessorOfAVoterAtATime) {
  options_.replace_unresponsive_after = seconds(2);
  Restart();
  Lead();
  Exchange(Heartbeat(), {2, 3});
  for (int round = 0; round < 30; ++round) {
    Exchange(Heartbeat(), {2});  // Member 3 is silent.
  }
  ASSERT_TRUE(core_->AdmitMember(now_, Member(14), 0).ok());
  Exchange(Take(), {2});
  Exchange(Heartbeat(), {2});
  EXPECT_EQ(core_->AdmitMember(now_, Member(15), 0).code(), StatusCode::kConflict);
  for (int round = 0; round < 30; ++round) {
    Exchange(Heartbeat(), {2});  // And so is its successor.
  }
  ASSERT_TRUE(core_->AdmitMember(now_, Member(15), 0).ok());
  for (int round = 0; round < 4; ++round) {
    Exchange(Heartbeat(), {2, 15});
  }
  std::set<std::uint64_t> members;
  for (const proto::RaftMember& member : core_->configuration().members()) {
    members.insert(member.member_id());
  }
  EXPECT_EQ(members, (std::set<std::uint64_t>{1, 2, 15}));
}

TEST_F(RaftCoreTest, ReplacesTheSameEndpointBeforeANamedMember) {
  Lead();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 2).ok());  // The endpoint of member 3.
  for (const proto::RaftMember& member : core_->configuration().members()) {
    if (member.member_id() == 13) {
      EXPECT_EQ(member.replaces(), 3U);
    }
  }
}

TEST_F(RaftCoreTest, RemovesADeadVoterBeforePromotingItsSuccessor) {
  Lead();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());  // The endpoint of member 3.
  Exchange(Take(), {2, 13});
  Exchange(Heartbeat(), {2, 13});
  std::vector<std::string> steps;
  for (std::uint64_t index = 2; index <= core_->log().last_index(); ++index) {
    std::string step;
    for (const proto::RaftMember& member : core_->log().At(index).configuration().members()) {
      step += std::to_string(member.member_id()) + (member.learner() ? "l " : " ");
    }
    if (!step.empty()) {
      steps.push_back(step);
    }
  }
  EXPECT_EQ(steps, (std::vector<std::string>{"1 2 3 13l ", "1 2 13l ", "1 2 13 "}));
}

TEST_F(RaftCoreTest, PromotesASuccessorBeforeRemovingALiveVoter) {
  Lead();
  Exchange(Heartbeat(), {2, 3});
  ASSERT_TRUE(core_->AdmitMember(now_, Member(14), 3).ok());
  Exchange(Take(), {2, 3, 14});
  Exchange(Heartbeat(), {2, 3, 14});
  EXPECT_EQ(core_->log().ConfigurationAt(3).members_size(), 4);
  EXPECT_EQ(core_->log().ConfigurationAt(4).members_size(), 4);
  EXPECT_FALSE(core_->log().ConfigurationAt(4).members(3).learner());
  EXPECT_EQ(core_->configuration().members_size(), 3);
}

TEST_F(RaftCoreTest, DoesNotPromoteALaggingLearner) {
  Lead();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
  Exchange(Take(), {2});
  const RaftEffects sent = Heartbeat();
  proto::AppendEntriesResponse behind;
  behind.set_term(core_->term());
  behind.set_follower_id(13);
  behind.set_sequence(Find<proto::AppendEntriesRequest>(sent, 13).sequence());
  core_->HandleAppendEntriesResponse(now_, behind);
  Exchange(Take(), {2});
  Exchange(Heartbeat(), {2});
  EXPECT_EQ(core_->configuration().members_size(), 4);
}

TEST_F(RaftCoreTest, SendsALearnerOneBoundedMessageAHeartbeat) {
  constexpr std::size_t kCommandBytes = 30'000;
  options_.catch_up_bytes = 2 * kCommandBytes + 1'000;
  Restart();
  Lead();
  for (int count = 0; count < 20; ++count) {
    ASSERT_TRUE(core_->Propose(now_, std::string(kCommandBytes, 'c')).ok());
    Exchange(Take(), {2, 3});
  }
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());  // The endpoint of member 3.
  Exchange(Take(), {2});
  proto::AppendEntriesResponse empty;
  empty.set_term(core_->term());
  empty.set_follower_id(13);
  empty.set_sequence(Find<proto::AppendEntriesRequest>(Heartbeat(), 13).sequence());
  core_->HandleAppendEntriesResponse(now_, empty);
  RaftEffects first = Take();
  for (const RaftMessage& message : first.messages) {
    if (const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request)) {
      Acknowledge(message.member_id, *append);
    }
  }
  Exchange(Take(), {2});
  std::size_t heartbeats = 0;
  while (core_->configuration().members_size() == 4 && heartbeats < 100) {
    ++heartbeats;
    const RaftEffects sent = Heartbeat();
    std::size_t bytes = 0;
    for (const RaftMessage& message : sent.messages) {
      if (const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request)) {
        bytes += message.member_id == 13 ? append->ByteSizeLong() : 0;
      }
    }
    EXPECT_LE(bytes, options_.catch_up_bytes + 1'000);
    for (const RaftMessage& message : sent.messages) {
      if (const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request)) {
        Acknowledge(message.member_id, *append);
      }
    }
    const RaftEffects after = Take();
    for (const RaftMessage& message : after.messages) {
      const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request);
      if (append != nullptr && message.member_id == 13) {
        EXPECT_LT(append->ByteSizeLong(), kCommandBytes) << "sent on before the next heartbeat";
      }
    }
    Exchange(after, {2, 13});
  }
  EXPECT_GE(heartbeats, 9U);  // Two commands each; the first message came before.
  EXPECT_EQ(core_->configuration().members_size(), 3);
}

TEST_F(RaftCoreTest, LearnersDoNotCountForCommit) {
  Lead();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
  const std::uint64_t before = core_->commit_index();
  Exchange(Take(), {13});
  EXPECT_EQ(core_->commit_index(), before);
  Exchange(Heartbeat(), {2});
  EXPECT_GT(core_->commit_index(), before);
}

}  // namespace
}  // namespace cloverbank

#include <gmock/gmock.h>

#include "consensus/raft_core_fixture.h"

namespace cloverbank {
namespace {

using testing::ElementsAre;
using testing::UnorderedElementsAre;

/// The leader of the group {1, 2, 3} changes its members.
class RaftMembershipTest : public RaftCoreTest {
 protected:
  std::vector<std::uint64_t> Voters() const {
    std::vector<std::uint64_t> ids;
    for (const proto::RaftMember& member : core_->configuration().members()) {
      if (!member.learner()) {
        ids.push_back(member.member_id());
      }
    }
    return ids;
  }
  std::vector<std::uint64_t> Learners() const {
    std::vector<std::uint64_t> ids;
    for (const proto::RaftMember& member : core_->configuration().members()) {
      if (member.learner()) {
        ids.push_back(member.member_id());
      }
    }
    return ids;
  }
  /// Lets `rounds` heartbeat intervals pass in which only `answering` members answer.
  void ExchangeHeartbeats(int rounds, const std::set<std::uint64_t>& answering) {
    for (int round = 0; round < rounds; ++round) {
      Exchange(Heartbeat(), answering);
    }
  }
};

TEST_F(RaftMembershipTest, RefusesChangesBeforeCommittingAnEntryOfItsTerm) {
  Elect();
  EXPECT_EQ(core_->AdmitMember(now_, Member(13), 0).code(), StatusCode::kUnavailable);
}

TEST_F(RaftMembershipTest, FullGroupAdmitsOnlyReplacements) {
  BecomeReadyLeader();
  EXPECT_EQ(core_->AdmitMember(now_, Member(14), 0).code(), StatusCode::kConflict);
  EXPECT_EQ(core_->AdmitMember(now_, Member(11), 0).code(), StatusCode::kConflict);
  EXPECT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
}

// An empty machine at another address replaces one that does not answer. Otherwise the group would
// be left with two voters and tolerate no further loss.
TEST_F(RaftMembershipTest, ReplacesAnUnresponsiveVoter) {
  options_.replace_unresponsive_after = seconds(2);
  Restart();
  BecomeReadyLeader();
  Exchange(Heartbeat(), {2, 3});
  EXPECT_EQ(core_->AdmitMember(now_, Member(14), 0).code(), StatusCode::kConflict);
  ExchangeHeartbeats(30, {2});  // Member 3 does not answer.
  ASSERT_TRUE(core_->AdmitMember(now_, Member(14), 0).ok());
  ExchangeHeartbeats(4, {2, 14});
  EXPECT_THAT(Voters(), UnorderedElementsAre(1, 2, 14));
  EXPECT_THAT(Learners(), ElementsAre());
}

TEST_F(RaftMembershipTest, AdmitsOneReplacementOfAVoterAtATime) {
  options_.replace_unresponsive_after = seconds(2);
  Restart();
  BecomeReadyLeader();
  Exchange(Heartbeat(), {2, 3});
  ExchangeHeartbeats(30, {2});  // Member 3 does not answer.
  ASSERT_TRUE(core_->AdmitMember(now_, Member(14), 0).ok());
  Exchange(TakeEffects(), {2});
  Exchange(Heartbeat(), {2});
  EXPECT_EQ(core_->AdmitMember(now_, Member(15), 0).code(), StatusCode::kConflict);
  ExchangeHeartbeats(30, {2});  // Its replacement does not answer either.
  ASSERT_TRUE(core_->AdmitMember(now_, Member(15), 0).ok());
  ExchangeHeartbeats(4, {2, 15});
  EXPECT_THAT(Voters(), UnorderedElementsAre(1, 2, 15));
  EXPECT_THAT(Learners(), ElementsAre());
}

TEST_F(RaftMembershipTest, PrefersTheMemberAtTheSameEndpointToTheNamedOne) {
  BecomeReadyLeader();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 2).ok());  // The endpoint of member 3.
  for (const proto::RaftMember& member : core_->configuration().members()) {
    if (member.member_id() == 13) {
      EXPECT_EQ(member.replaces(), 3U);
    }
  }
}

TEST_F(RaftMembershipTest, RemovesAnUnresponsiveVoterBeforePromotingItsReplacement) {
  BecomeReadyLeader();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());  // The endpoint of member 3.
  Exchange(TakeEffects(), {2, 13});
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
  EXPECT_THAT(steps, ElementsAre("1 2 3 13l ", "1 2 13l ", "1 2 13 "));
}

TEST_F(RaftMembershipTest, PromotesAReplacementBeforeRemovingAResponsiveVoter) {
  BecomeReadyLeader();
  Exchange(Heartbeat(), {2, 3});
  ASSERT_TRUE(core_->AdmitMember(now_, Member(14), 3).ok());
  Exchange(TakeEffects(), {2, 3, 14});
  Exchange(Heartbeat(), {2, 3, 14});
  EXPECT_EQ(core_->log().ConfigurationAt(3).members_size(), 4);
  EXPECT_EQ(core_->log().ConfigurationAt(4).members_size(), 4);
  EXPECT_FALSE(core_->log().ConfigurationAt(4).members(3).learner());
  EXPECT_EQ(core_->configuration().members_size(), 3);
}

TEST_F(RaftMembershipTest, DoesNotPromoteALaggingLearner) {
  BecomeReadyLeader();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
  Exchange(TakeEffects(), {2});
  const RaftEffects sent = Heartbeat();
  proto::AppendEntriesResponse behind;
  behind.set_term(core_->term());
  behind.set_follower_id(13);
  behind.set_sequence(FindMessage<proto::AppendEntriesRequest>(sent, 13).sequence());
  core_->HandleAppendEntriesResponse(now_, behind);
  Exchange(TakeEffects(), {2});
  Exchange(Heartbeat(), {2});
  EXPECT_EQ(core_->configuration().members_size(), 4);
}

TEST_F(RaftMembershipTest, SendsALearnerOneBoundedMessagePerHeartbeat) {
  constexpr std::size_t kCommandBytes = 30'000;
  options_.catch_up_bytes = 2 * kCommandBytes + 1'000;
  Restart();
  BecomeReadyLeader();
  for (int count = 0; count < 20; ++count) {
    ASSERT_TRUE(core_->Propose(now_, std::string(kCommandBytes, 'c')).ok());
    Exchange(TakeEffects(), {2, 3});
  }
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());  // The endpoint of member 3.
  Exchange(TakeEffects(), {2});
  proto::AppendEntriesResponse empty;
  empty.set_term(core_->term());
  empty.set_follower_id(13);
  empty.set_sequence(FindMessage<proto::AppendEntriesRequest>(Heartbeat(), 13).sequence());
  core_->HandleAppendEntriesResponse(now_, empty);
  RaftEffects first = TakeEffects();
  for (const RaftMessage& message : first.messages) {
    if (const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request)) {
      Acknowledge(message.member_id, *append);
    }
  }
  Exchange(TakeEffects(), {2});
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
    const RaftEffects after = TakeEffects();
    for (const RaftMessage& message : after.messages) {
      const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request);
      if (append != nullptr && message.member_id == 13) {
        EXPECT_LT(append->ByteSizeLong(), kCommandBytes)
            << "the learner got more entries before the next heartbeat";
      }
    }
    Exchange(after, {2, 13});
  }
  EXPECT_GE(heartbeats, 9U);  // Two commands each; the first message was sent earlier.
  EXPECT_EQ(core_->configuration().members_size(), 3);
}

TEST_F(RaftMembershipTest, LearnersDoNotCountForCommit) {
  BecomeReadyLeader();
  ASSERT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
  const std::uint64_t before = core_->commit_index();
  Exchange(TakeEffects(), {13});
  EXPECT_EQ(core_->commit_index(), before);
  Exchange(Heartbeat(), {2});
  EXPECT_GT(core_->commit_index(), before);
}

}  // namespace
}  // namespace cloverbank

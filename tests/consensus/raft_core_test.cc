#include "consensus/raft_core.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr std::uint64_t kCluster = 77;

proto::RaftMember Member(std::uint64_t id, bool learner = false) {
  proto::RaftMember member;
  member.set_member_id(id);
  member.mutable_endpoint()->set_host("10.0.0." + std::to_string(id % 10));
  member.mutable_endpoint()->set_port(1);
  member.set_learner(learner);
  return member;
}

proto::RaftEntry Command(std::uint64_t index, std::uint64_t term) {
  proto::RaftEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_command("c");
  return entry;
}

/// Member 1 of the group {1, 2, 3}, whose log starts with the configuration. Inputs carry the
/// answers that members 2 and 3 would give.
class RaftCoreTest : public testing::Test {
 protected:
  RaftCoreTest() {
    proto::RaftEntry configuration;
    configuration.set_index(1);
    configuration.set_term(1);
    for (const std::uint64_t id : {1, 2, 3}) {
      *configuration.mutable_configuration()->add_members() = Member(id);
    }
    state_.metadata.set_member_id(1);
    state_.metadata.set_cluster_id(kCluster);
    state_.metadata.set_current_term(1);
    state_.entries.push_back(configuration);
    options_.trailing_entries = 0;
    options_.snapshot_chunk_bytes = 4;
    Restart();
  }

  void Restart() { core_.emplace(options_, state_, now_); }
  RaftEffects Take() { return core_->TakeEffects(); }
  /// Confirms all writes asked for. @return the effects of that.
  RaftEffects Sync() {
    RaftEffects before = Take();
    if (!before.writes.empty()) {
      core_->HandlePersisted(now_, before.writes.back().id);
    }
    return Take();
  }
  void PassPromise() { now_ += options_.minimum_election_timeout; }

  static proto::RequestVoteRequest Vote(std::uint64_t candidate, std::uint64_t term,
                                        std::uint64_t last_index = 1, std::uint64_t last_term = 1) {
    proto::RequestVoteRequest request;
    request.set_term(term);
    request.set_candidate_id(candidate);
    request.set_last_log_index(last_index);
    request.set_last_log_term(last_term);
    return request;
  }
  static proto::AppendEntriesRequest Append(std::uint64_t term, std::uint64_t previous_index,
                                            std::uint64_t previous_term,
                                            const std::vector<proto::RaftEntry>& entries = {},
                                            std::uint64_t commit = 0) {
    proto::AppendEntriesRequest request;
    request.set_term(term);
    request.set_leader_id(2);
    request.set_previous_log_index(previous_index);
    request.set_previous_log_term(previous_term);
    request.set_leader_commit(commit);
    *request.mutable_entries() = {entries.begin(), entries.end()};
    return request;
  }
  /// Hands in a vote request; @return the answer, which must come at once after a sync.
  proto::RequestVoteResponse VoteAnswer(const proto::RequestVoteRequest& request) {
    core_->HandleRequestVote(now_, request, 1);
    RaftEffects effects = Take();
    if (effects.replies.empty()) {
      core_->HandlePersisted(now_, effects.writes.back().id);
      effects = Take();
    }
    return std::get<proto::RequestVoteResponse>(effects.replies.at(0).response);
  }
  proto::AppendEntriesResponse AppendAnswer(const proto::AppendEntriesRequest& request) {
    core_->HandleAppendEntries(now_, request, 1);
    RaftEffects effects = Take();
    if (effects.replies.empty()) {
      core_->HandlePersisted(now_, effects.writes.back().id);
      effects = Take();
    }
    return std::get<proto::AppendEntriesResponse>(effects.replies.at(0).response);
  }
  /// The last message of one kind to `member`.
  template <typename Request>
  static Request Find(const RaftEffects& effects, std::uint64_t member) {
    Request found;
    for (const RaftMessage& message : effects.messages) {
      if (message.member_id == member && std::holds_alternative<Request>(message.request)) {
        found = std::get<Request>(message.request);
      }
    }
    return found;
  }
  RaftEffects Grant(const RaftEffects& asked, std::uint64_t voter) {
    const auto request = Find<proto::RequestVoteRequest>(asked, voter);
    proto::RequestVoteResponse response;
    response.set_term(core_->term());
    response.set_granted(true);
    response.set_voter_id(voter);
    core_->HandleRequestVoteResponse(now_, request, response);
    return Take();
  }
  /// Elects member 1 with the votes of 2, its no-op unsynced. @return the effects of that moment.
  RaftEffects Elect() {
    now_ = core_->NextWakeup();
    core_->Tick(now_);
    RaftEffects effects = Grant(Take(), 2);
    core_->HandlePersisted(now_, effects.writes.back().id);
    return Grant(Take(), 2);
  }
  void Acknowledge(std::uint64_t member, const proto::AppendEntriesRequest& request) {
    proto::AppendEntriesResponse response;
    response.set_term(core_->term());
    response.set_success(true);
    response.set_follower_id(member);
    response.set_sequence(request.sequence());
    response.set_match_index(request.previous_log_index() +
                             static_cast<std::uint64_t>(request.entries_size()));
    core_->HandleAppendEntriesResponse(now_, response);
  }
  /// Syncs all writes and lets `answering` members take all entries sent; calls to others fail.
  void Exchange(RaftEffects effects, const std::set<std::uint64_t>& answering) {
    for (; !effects.empty(); effects = Take()) {
      if (!effects.writes.empty()) {
        core_->HandlePersisted(now_, effects.writes.back().id);
      }
      for (const RaftMessage& message : effects.messages) {
        const auto* append = std::get_if<proto::AppendEntriesRequest>(&message.request);
        if (append != nullptr && answering.contains(message.member_id)) {
          Acknowledge(message.member_id, *append);
        } else if (append != nullptr) {
          core_->HandleCallFailed(message.member_id, append->sequence());
        }
      }
    }
  }
  /// Elects member 1 and commits its no-op (index 2) with member 2.
  void Lead() {
    Exchange(Elect(), {2});
    ASSERT_TRUE(core_->IsReadyLeader());
  }
  RaftEffects Heartbeat() {
    now_ = core_->NextWakeup();
    core_->Tick(now_);
    return Take();
  }

  RaftCoreOptions options_;
  RaftDurableState state_;
  TimePoint now_ = TimePoint(seconds(100));
  std::optional<RaftCore> core_;
};

TEST_F(RaftCoreTest, VoteIsAnsweredOnlyWhenItIsSynced) {
  PassPromise();
  core_->HandleRequestVote(now_, Vote(2, 5), 9);
  const RaftEffects asked = Take();
  EXPECT_TRUE(asked.replies.empty());
  ASSERT_EQ(asked.writes.size(), 1U);
  EXPECT_EQ(asked.writes[0].metadata->voted_for(), 2U);
  core_->HandlePersisted(now_, asked.writes[0].id);
  EXPECT_EQ(Take().replies.size(), 1U);
}

TEST_F(RaftCoreTest, VotesOnceInATermAndOnlyForAnUpToDateLog) {
  PassPromise();
  EXPECT_TRUE(VoteAnswer(Vote(2, 5)).granted());
  EXPECT_FALSE(VoteAnswer(Vote(3, 5)).granted());
  EXPECT_TRUE(VoteAnswer(Vote(2, 5)).granted());
  EXPECT_FALSE(VoteAnswer(Vote(3, 6, 0, 0)).granted());
  EXPECT_EQ(core_->term(), 6U);
}

TEST_F(RaftCoreTest, RefusesVotesWhileALeaderMayCountOnIt) {
  EXPECT_FALSE(VoteAnswer(Vote(2, 5)).granted()) << "just started: may have promised before";
  PassPromise();
  AppendAnswer(Append(1, 1, 1));
  now_ += options_.minimum_election_timeout - milliseconds(1);
  EXPECT_FALSE(VoteAnswer(Vote(3, 5)).granted());
  EXPECT_EQ(core_->term(), 1U) << "a refused candidate does not raise the term";
  auto transfer = Vote(3, 5);
  transfer.set_leadership_transfer(true);
  EXPECT_TRUE(VoteAnswer(transfer).granted());
}

TEST_F(RaftCoreTest, PreVoteChangesNothing) {
  PassPromise();
  auto pre_vote = Vote(2, 2);
  pre_vote.set_pre_vote(true);
  EXPECT_TRUE(VoteAnswer(pre_vote).granted());
  EXPECT_EQ(core_->term(), 1U);
  EXPECT_TRUE(VoteAnswer(Vote(3, 2)).granted());
}

TEST_F(RaftCoreTest, CandidateAsksOnlyWhenItsOwnVoteIsSynced) {
  now_ = core_->NextWakeup();
  core_->Tick(now_);
  const RaftEffects pre_votes = Take();
  EXPECT_TRUE(pre_votes.writes.empty());
  EXPECT_EQ(pre_votes.messages.size(), 2U);
  const RaftEffects election = Grant(pre_votes, 3);
  EXPECT_TRUE(election.messages.empty());
  core_->HandlePersisted(now_, election.writes.back().id);
  EXPECT_EQ(Take().messages.size(), 2U);
}

TEST_F(RaftCoreTest, VoteOfAnotherMemberAtTheAddressDoesNotCount) {
  now_ = core_->NextWakeup();
  core_->Tick(now_);
  auto request = Find<proto::RequestVoteRequest>(Take(), 2);
  proto::RequestVoteResponse response;
  response.set_granted(true);
  response.set_voter_id(3);
  core_->HandleRequestVoteResponse(now_, request, response);
  EXPECT_EQ(core_->role(), RaftRole::kPreCandidate);
}

TEST_F(RaftCoreTest, EntriesAreAcknowledgedOnlyWhenSynced) {
  core_->HandleAppendEntries(now_, Append(1, 1, 1, {Command(2, 1), Command(3, 1)}), 1);
  const RaftEffects asked = Take();
  EXPECT_TRUE(asked.replies.empty());
  const auto heartbeat = AppendAnswer(Append(1, 3, 1));
  EXPECT_TRUE(heartbeat.success());
  EXPECT_EQ(heartbeat.match_index(), 1U);
  core_->HandlePersisted(now_, asked.writes.back().id);
  const RaftEffects synced = Take();
  ASSERT_EQ(synced.replies.size(), 1U);
  EXPECT_EQ(std::get<proto::AppendEntriesResponse>(synced.replies[0].response).match_index(), 3U);
}

TEST_F(RaftCoreTest, ConflictingSuffixGivesWayAndIsNotVouchedFor) {
  AppendAnswer(Append(1, 1, 1, {Command(2, 1), Command(3, 1), Command(4, 1)}));
  AppendAnswer(Append(3, 2, 1));  // The new term is known and synced.
  core_->HandleAppendEntries(now_, Append(3, 2, 1, {Command(3, 3)}), 1);
  Take();
  EXPECT_EQ(core_->log().last_index(), 3U);
  EXPECT_EQ(AppendAnswer(Append(3, 3, 3)).match_index(), 2U) << "the new entry 3 is not synced";
}

TEST_F(RaftCoreTest, HintSkipsAWholeTermButNothingCommitted) {
  AppendAnswer(Append(2, 1, 1, {Command(2, 1), Command(3, 2), Command(4, 2), Command(5, 2)}, 3));
  EXPECT_EQ(AppendAnswer(Append(4, 9, 4)).match_index(), 5U);
  const auto answer = AppendAnswer(Append(4, 5, 4));
  EXPECT_FALSE(answer.success());
  EXPECT_EQ(answer.match_index(), 3U);
}

TEST_F(RaftCoreTest, ContradictedCommittedEntryStopsTheMember) {
  AppendAnswer(Append(2, 1, 1, {Command(2, 2)}, 2));
  core_->HandleAppendEntries(now_, Append(3, 1, 1, {Command(2, 3)}), 1);
  EXPECT_TRUE(Take().fatal.has_value());
}

TEST_F(RaftCoreTest, LeaderCountsItselfOnlyWhenSynced) {
  const RaftEffects elected = Elect();
  Acknowledge(2, Find<proto::AppendEntriesRequest>(elected, 2));
  EXPECT_EQ(core_->commit_index(), 0U);
  core_->HandlePersisted(now_, elected.writes.back().id);
  EXPECT_EQ(core_->commit_index(), 2U);
}

TEST_F(RaftCoreTest, EntriesOfEarlierTermsAreNotCommittedAlone) {
  const RaftEffects elected = Elect();
  core_->HandlePersisted(now_, elected.writes.back().id);
  proto::AppendEntriesResponse response;
  response.set_term(core_->term());
  response.set_success(true);
  response.set_follower_id(2);
  response.set_sequence(Find<proto::AppendEntriesRequest>(elected, 2).sequence());
  response.set_match_index(1);
  core_->HandleAppendEntriesResponse(now_, response);
  EXPECT_EQ(core_->commit_index(), 0U);
}

TEST_F(RaftCoreTest, LeaseCountsFromTheSendingAndKeepsAMargin) {
  Lead();
  const RaftEffects sent = Heartbeat();
  const TimePoint sent_at = now_;
  now_ += milliseconds(5);
  Acknowledge(2, Find<proto::AppendEntriesRequest>(sent, 2));
  now_ = sent_at + milliseconds(359);
  EXPECT_TRUE(core_->HasLeaderLease(now_));
  EXPECT_FALSE(core_->HasLeaderLease(sent_at + milliseconds(360)));
  Acknowledge(2, Find<proto::AppendEntriesRequest>(sent, 2));  // The same answer once more.
  Acknowledge(3, Find<proto::AppendEntriesRequest>(sent, 3));  // A late one.
  EXPECT_FALSE(core_->HasLeaderLease(sent_at + milliseconds(360)));
}

TEST_F(RaftCoreTest, LeaderWithoutAMajorityStepsDownAndRefusesProposals) {
  Lead();
  now_ += options_.maximum_election_timeout + milliseconds(1);
  EXPECT_EQ(core_->Propose(now_, "x").status().code(), StatusCode::kNotLeader);
  EXPECT_EQ(core_->role(), RaftRole::kFollower);
}

TEST_F(RaftCoreTest, LeaderDoesNotVoteWhileItsMajorityListens) {
  Lead();
  EXPECT_FALSE(VoteAnswer(Vote(3, 9, 9, 9)).granted());
  EXPECT_EQ(core_->role(), RaftRole::kLeader);
}

TEST_F(RaftCoreTest, SnapshotTravelsInChunksAndReplacesAContradictingLog) {
  AppendAnswer(Append(1, 1, 1, {Command(2, 1)}));
  proto::InstallSnapshotRequest chunk;
  chunk.set_term(2);
  chunk.set_leader_id(2);
  chunk.set_last_included_index(7);
  chunk.set_last_included_term(2);
  *chunk.mutable_configuration() = core_->configuration();
  chunk.set_data("half");
  core_->HandleInstallSnapshot(now_, chunk, 1);
  EXPECT_FALSE(Sync().restore);
  chunk.set_offset(4);
  chunk.set_data("done");
  chunk.set_done(true);
  core_->HandleInstallSnapshot(now_, chunk, 2);
  const RaftEffects installed = Take();
  ASSERT_TRUE(installed.restore);
  EXPECT_EQ(installed.restore->state(), "halfdone");
  EXPECT_TRUE(installed.replies.empty()) << "not synced yet";
  ASSERT_EQ(installed.writes.size(), 2U);
  EXPECT_TRUE(installed.writes[0].snapshot) << "the snapshot comes before the emptied log";
  EXPECT_TRUE(installed.writes[1].replaces_log);
  core_->HandlePersisted(now_, installed.writes[1].id);
  EXPECT_EQ(Take().replies.size(), 1U);
  EXPECT_EQ(core_->log().base_index(), 7U);
}

TEST_F(RaftCoreTest, LeaderSendsItsSnapshotToAMemberThatIsBehindTheLog) {
  Lead();
  core_->StoreSnapshot(2, "abcdefgh");
  Sync();
  EXPECT_EQ(core_->log().base_index(), 2U);
  const auto probe = Find<proto::AppendEntriesRequest>(Heartbeat(), 3);
  proto::AppendEntriesResponse behind;
  behind.set_term(core_->term());
  behind.set_follower_id(3);
  behind.set_sequence(probe.sequence());
  core_->HandleAppendEntriesResponse(now_, behind);
  auto chunk = Find<proto::InstallSnapshotRequest>(Take(), 3);
  EXPECT_EQ(chunk.data(), "abcd");
  EXPECT_FALSE(chunk.done());
  proto::InstallSnapshotResponse response;
  response.set_term(core_->term());
  response.set_follower_id(3);
  response.set_sequence(chunk.sequence());
  response.set_next_offset(4);
  core_->HandleInstallSnapshotResponse(now_, response);
  chunk = Find<proto::InstallSnapshotRequest>(Take(), 3);
  EXPECT_EQ(chunk.data(), "efgh");
  EXPECT_TRUE(chunk.done());
}

TEST_F(RaftCoreTest, OtherClustersAndOtherRecipientsAreRefused) {
  EXPECT_TRUE(core_->AdmitSender(kCluster, 1).ok());
  EXPECT_EQ(core_->AdmitSender(kCluster + 1, 1).code(), StatusCode::kConflict);
  EXPECT_EQ(core_->AdmitSender(kCluster, 4).code(), StatusCode::kNotFound);
}

TEST_F(RaftCoreTest, MembershipWaitsForAnEntryOfTheTerm) {
  Elect();
  EXPECT_EQ(core_->AdmitMember(now_, Member(13), 0).code(), StatusCode::kUnavailable);
}

TEST_F(RaftCoreTest, CompleteGroupTakesNobodyInUnlessItReplacesSomeone) {
  Lead();
  EXPECT_EQ(core_->AdmitMember(now_, Member(14), 0).code(), StatusCode::kConflict);
  EXPECT_EQ(core_->AdmitMember(now_, Member(11), 0).code(), StatusCode::kConflict);
  EXPECT_TRUE(core_->AdmitMember(now_, Member(13), 0).ok());
}

TEST_F(RaftCoreTest, EmptiedMemberTakesItsOldPlaceInTwoSteps) {
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

TEST_F(RaftCoreTest, LivingMemberIsReplacedOnlyAfterItsSuccessorCounts) {
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

TEST_F(RaftCoreTest, LearnerDoesNotCount) {
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

#include "consensus/raft_core.h"

#include "consensus/raft_core_fixture.h"

namespace cloverbank {
namespace {

TEST_F(RaftCoreTest, AnswersAVoteRequestOnlyOnceTheVoteIsSynced) {
  PassElectionTimeout();
  core_->HandleRequestVote(now_, MakeVoteRequest(2, 5), 9);
  const RaftEffects before_sync = TakeEffects();
  EXPECT_TRUE(before_sync.replies.empty());
  ASSERT_EQ(before_sync.writes.size(), 1U);
  EXPECT_EQ(before_sync.writes[0].metadata->voted_for(), 2U);
  core_->HandlePersisted(now_, before_sync.writes[0].id);
  EXPECT_EQ(TakeEffects().replies.size(), 1U);
}

TEST_F(RaftCoreTest, VotesForOneCandidateInATerm) {
  PassElectionTimeout();
  EXPECT_TRUE(VoteResponseTo(MakeVoteRequest(2, 5)).granted());
  EXPECT_FALSE(VoteResponseTo(MakeVoteRequest(3, 5)).granted());
  EXPECT_TRUE(VoteResponseTo(MakeVoteRequest(2, 5)).granted());
}

TEST_F(RaftCoreTest, RefusesAVoteForAStaleLog) {
  PassElectionTimeout();
  EXPECT_TRUE(VoteResponseTo(MakeVoteRequest(2, 5)).granted());
  EXPECT_FALSE(VoteResponseTo(MakeVoteRequest(3, 6, 0, 0)).granted());
  EXPECT_EQ(core_->term(), 6U);
}

TEST_F(RaftCoreTest, WithholdsVotesAfterARestart) {
  EXPECT_FALSE(VoteResponseTo(MakeVoteRequest(2, 5)).granted())
      << "it may have heard a leader before the restart";
}

TEST_F(RaftCoreTest, WithholdsVotesAfterLeaderContact) {
  PassElectionTimeout();
  AppendResponseTo(MakeAppendRequest(1, 1, 1));
  now_ += options_.minimum_election_timeout - milliseconds(1);
  EXPECT_FALSE(VoteResponseTo(MakeVoteRequest(3, 5)).granted());
  EXPECT_EQ(core_->term(), 1U) << "a refused candidate does not raise the term";
}

TEST_F(RaftCoreTest, GrantsATransferVoteDespiteLeaderContact) {
  PassElectionTimeout();
  AppendResponseTo(MakeAppendRequest(1, 1, 1));
  now_ += options_.minimum_election_timeout - milliseconds(1);
  EXPECT_FALSE(VoteResponseTo(MakeVoteRequest(3, 5)).granted());
  auto transfer = MakeVoteRequest(3, 5);
  transfer.set_leadership_transfer(true);
  EXPECT_TRUE(VoteResponseTo(transfer).granted());
}

TEST_F(RaftCoreTest, PreVoteLeavesTermAndVoteUnchanged) {
  PassElectionTimeout();
  auto pre_vote = MakeVoteRequest(2, 2);
  pre_vote.set_pre_vote(true);
  EXPECT_TRUE(VoteResponseTo(pre_vote).granted());
  EXPECT_EQ(core_->term(), 1U);
  EXPECT_TRUE(VoteResponseTo(MakeVoteRequest(3, 2)).granted());
}

TEST_F(RaftCoreTest, RequestsVotesOnlyOnceItsOwnVoteIsSynced) {
  now_ = core_->NextWakeup();
  core_->Tick(now_);
  const RaftEffects pre_votes = TakeEffects();
  EXPECT_TRUE(pre_votes.writes.empty());
  EXPECT_EQ(pre_votes.messages.size(), 2U);
  const RaftEffects election = GrantVote(pre_votes, 3);
  EXPECT_TRUE(election.messages.empty());
  core_->HandlePersisted(now_, election.writes.back().id);
  EXPECT_EQ(TakeEffects().messages.size(), 2U);
}

TEST_F(RaftCoreTest, IgnoresAVoteFromAnotherMemberId) {
  now_ = core_->NextWakeup();
  core_->Tick(now_);
  auto request = FindMessage<proto::RequestVoteRequest>(TakeEffects(), 2);
  proto::RequestVoteResponse response;
  response.set_granted(true);
  response.set_voter_id(3);
  core_->HandleRequestVoteResponse(now_, request, response);
  EXPECT_EQ(core_->role(), RaftRole::kPreCandidate);
}

TEST_F(RaftCoreTest, AcknowledgesEntriesOnlyOnceSynced) {
  core_->HandleAppendEntries(now_, MakeAppendRequest(1, 1, 1, {Command(2, 1), Command(3, 1)}), 1);
  const RaftEffects before_sync = TakeEffects();
  EXPECT_TRUE(before_sync.replies.empty());
  const auto heartbeat = AppendResponseTo(MakeAppendRequest(1, 3, 1));
  EXPECT_TRUE(heartbeat.success());
  EXPECT_EQ(heartbeat.match_index(), 1U);
  core_->HandlePersisted(now_, before_sync.writes.back().id);
  const RaftEffects synced = TakeEffects();
  ASSERT_EQ(synced.replies.size(), 1U);
  EXPECT_EQ(std::get<proto::AppendEntriesResponse>(synced.replies[0].response).match_index(), 3U);
}

TEST_F(RaftCoreTest, ReplacesConflictingEntries) {
  AppendResponseTo(MakeAppendRequest(1, 1, 1, {Command(2, 1), Command(3, 1), Command(4, 1)}));
  AppendResponseTo(MakeAppendRequest(3, 2, 1));  // The new term is known and synced.
  core_->HandleAppendEntries(now_, MakeAppendRequest(3, 2, 1, {Command(3, 3)}), 1);
  TakeEffects();
  EXPECT_EQ(core_->log().last_index(), 3U);
  EXPECT_EQ(AppendResponseTo(MakeAppendRequest(3, 3, 3)).match_index(), 2U)
      << "the new entry 3 is not synced";
}

TEST_F(RaftCoreTest, ConflictHintSkipsTheConflictingTerm) {
  AppendResponseTo(
      MakeAppendRequest(2, 1, 1, {Command(2, 1), Command(3, 2), Command(4, 2), Command(5, 2)}, 3));
  EXPECT_EQ(AppendResponseTo(MakeAppendRequest(4, 9, 4)).match_index(), 5U);
  const auto answer = AppendResponseTo(MakeAppendRequest(4, 5, 4));
  EXPECT_FALSE(answer.success());
  EXPECT_EQ(answer.match_index(), 3U);
}

TEST_F(RaftCoreTest, FailsOnAConflictWithACommittedEntry) {
  AppendResponseTo(MakeAppendRequest(2, 1, 1, {Command(2, 2)}, 2));
  core_->HandleAppendEntries(now_, MakeAppendRequest(3, 1, 1, {Command(2, 3)}), 1);
  EXPECT_TRUE(TakeEffects().fatal.has_value());
}

TEST_F(RaftCoreTest, LeaderCountsOnlyItsSyncedEntries) {
  const RaftEffects elected = Elect();
  Acknowledge(2, FindMessage<proto::AppendEntriesRequest>(elected, 2));
  EXPECT_EQ(core_->commit_index(), 0U);
  core_->HandlePersisted(now_, elected.writes.back().id);
  EXPECT_EQ(core_->commit_index(), 2U);
}

TEST_F(RaftCoreTest, DoesNotCommitEntriesOfEarlierTermsAlone) {
  const RaftEffects elected = Elect();
  core_->HandlePersisted(now_, elected.writes.back().id);
  proto::AppendEntriesResponse response;
  response.set_term(core_->term());
  response.set_success(true);
  response.set_follower_id(2);
  response.set_sequence(FindMessage<proto::AppendEntriesRequest>(elected, 2).sequence());
  response.set_match_index(1);
  core_->HandleAppendEntriesResponse(now_, response);
  EXPECT_EQ(core_->commit_index(), 0U);
}

TEST_F(RaftCoreTest, LeaseCountsFromTheRequestMinusAMargin) {
  BecomeReadyLeader();
  const RaftEffects sent = Heartbeat();
  const TimePoint sent_at = now_;
  now_ += milliseconds(5);
  Acknowledge(2, FindMessage<proto::AppendEntriesRequest>(sent, 2));
  now_ = sent_at + milliseconds(359);
  EXPECT_TRUE(core_->HasLeaderLease(now_));
  EXPECT_FALSE(core_->HasLeaderLease(sent_at + milliseconds(360)));
  Acknowledge(2, FindMessage<proto::AppendEntriesRequest>(sent, 2));  // The same response again.
  Acknowledge(3, FindMessage<proto::AppendEntriesRequest>(sent, 3));  // A late response.
  EXPECT_FALSE(core_->HasLeaderLease(sent_at + milliseconds(360)));
}

TEST_F(RaftCoreTest, LeaderWithoutQuorumStepsDown) {
  BecomeReadyLeader();
  now_ += options_.maximum_election_timeout + milliseconds(1);
  EXPECT_EQ(core_->Propose(now_, "x").status().code(), StatusCode::kNotLeader);
  EXPECT_EQ(core_->role(), RaftRole::kFollower);
}

TEST_F(RaftCoreTest, LeaderWithQuorumWithholdsItsVote) {
  BecomeReadyLeader();
  EXPECT_FALSE(VoteResponseTo(MakeVoteRequest(3, 9, 9, 9)).granted());
  EXPECT_EQ(core_->role(), RaftRole::kLeader);
}

TEST_F(RaftCoreTest, InstallsASnapshotOverAConflictingLog) {
  AppendResponseTo(MakeAppendRequest(1, 1, 1, {Command(2, 1)}));
  proto::InstallSnapshotRequest chunk;
  chunk.set_term(2);
  chunk.set_leader_id(2);
  chunk.set_last_included_index(7);
  chunk.set_last_included_term(2);
  *chunk.mutable_configuration() = core_->configuration();
  chunk.set_data("half");
  core_->HandleInstallSnapshot(now_, chunk, 1);
  EXPECT_FALSE(SyncWrites().restore);
  chunk.set_offset(4);
  chunk.set_data("done");
  chunk.set_done(true);
  core_->HandleInstallSnapshot(now_, chunk, 2);
  const RaftEffects installed = TakeEffects();
  ASSERT_TRUE(installed.restore);
  EXPECT_EQ(installed.restore->state(), "halfdone");
  EXPECT_TRUE(installed.replies.empty()) << "not synced yet";
  ASSERT_EQ(installed.writes.size(), 2U);
  EXPECT_TRUE(installed.writes[0].snapshot) << "the snapshot comes before the emptied log";
  EXPECT_TRUE(installed.writes[1].replaces_log);
  core_->HandlePersisted(now_, installed.writes[1].id);
  EXPECT_EQ(TakeEffects().replies.size(), 1U);
  EXPECT_EQ(core_->log().base_index(), 7U);
}

TEST_F(RaftCoreTest, LeaderSendsASnapshotToALaggingFollower) {
  BecomeReadyLeader();
  core_->StoreSnapshot(2, "abcdefgh");
  SyncWrites();
  EXPECT_EQ(core_->log().base_index(), 2U);
  const auto probe = FindMessage<proto::AppendEntriesRequest>(Heartbeat(), 3);
  proto::AppendEntriesResponse behind;
  behind.set_term(core_->term());
  behind.set_follower_id(3);
  behind.set_sequence(probe.sequence());
  core_->HandleAppendEntriesResponse(now_, behind);
  auto chunk = FindMessage<proto::InstallSnapshotRequest>(TakeEffects(), 3);
  EXPECT_EQ(chunk.data(), "abcd");
  EXPECT_FALSE(chunk.done());
  proto::InstallSnapshotResponse response;
  response.set_term(core_->term());
  response.set_follower_id(3);
  response.set_sequence(chunk.sequence());
  response.set_next_offset(4);
  core_->HandleInstallSnapshotResponse(now_, response);
  chunk = FindMessage<proto::InstallSnapshotRequest>(TakeEffects(), 3);
  EXPECT_EQ(chunk.data(), "efgh");
  EXPECT_TRUE(chunk.done());
}

TEST_F(RaftCoreTest, RejectsOtherClustersAndRecipients) {
  EXPECT_TRUE(core_->AdmitSender(kClusterId, 1).ok());
  EXPECT_EQ(core_->AdmitSender(kClusterId + 1, 1).code(), StatusCode::kConflict);
  EXPECT_EQ(core_->AdmitSender(kClusterId, 4).code(), StatusCode::kNotFound);
}

}  // namespace
}  // namespace cloverbank

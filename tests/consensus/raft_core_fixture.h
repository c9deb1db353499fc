#pragma once
/// @file
/// One `RaftCore` in a group of three members, without a driver.

#include <gtest/gtest.h>

#include "consensus/raft_core.h"

namespace cloverbank {

inline constexpr std::uint64_t kClusterId = 77;

inline proto::RaftMember Member(std::uint64_t id, bool learner = false) {
  proto::RaftMember member;
  member.set_member_id(id);
  member.mutable_endpoint()->set_host("10.0.0." + std::to_string(id % 10));
  member.mutable_endpoint()->set_port(1);
  member.set_learner(learner);
  return member;
}

inline proto::RaftEntry Command(std::uint64_t index, std::uint64_t term) {
  proto::RaftEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_command("c");
  return entry;
}

/// Member 1 of the group {1, 2, 3}, whose log starts with the configuration. The tests act as
/// members 2 and 3.
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
    state_.metadata.set_cluster_id(kClusterId);
    state_.metadata.set_current_term(1);
    state_.entries.push_back(configuration);
    options_.trailing_entries = 0;
    options_.snapshot_chunk_bytes = 4;
    Restart();
  }

  void Restart() { core_.emplace(options_, state_, now_); }
  RaftEffects TakeEffects() { return core_->TakeEffects(); }
  /// Confirms that all writes are synced. @return the effects of this.
  RaftEffects SyncWrites() {
    RaftEffects unsynced = TakeEffects();
    if (!unsynced.writes.empty()) {
      core_->HandlePersisted(now_, unsynced.writes.back().id);
    }
    return TakeEffects();
  }
  /// Lets the time pass after which the member may vote.
  void PassElectionTimeout() { now_ += options_.minimum_election_timeout; }

  static proto::RequestVoteRequest MakeVoteRequest(std::uint64_t candidate, std::uint64_t term,
                                                   std::uint64_t last_index = 1,
                                                   std::uint64_t last_term = 1) {
    proto::RequestVoteRequest request;
    request.set_term(term);
    request.set_candidate_id(candidate);
    request.set_last_log_index(last_index);
    request.set_last_log_term(last_term);
    return request;
  }
  static proto::AppendEntriesRequest MakeAppendRequest(
      std::uint64_t term, std::uint64_t previous_index, std::uint64_t previous_term,
      const std::vector<proto::RaftEntry>& entries = {}, std::uint64_t commit = 0) {
    proto::AppendEntriesRequest request;
    request.set_term(term);
    request.set_leader_id(2);
    request.set_previous_log_index(previous_index);
    request.set_previous_log_term(previous_term);
    request.set_leader_commit(commit);
    *request.mutable_entries() = {entries.begin(), entries.end()};
    return request;
  }
  /// @return the response to a vote request, which must come at once or when writes are synced.
  proto::RequestVoteResponse VoteResponseTo(const proto::RequestVoteRequest& request) {
    core_->HandleRequestVote(now_, request, 1);
    RaftEffects effects = TakeEffects();
    if (effects.replies.empty()) {
      core_->HandlePersisted(now_, effects.writes.back().id);
      effects = TakeEffects();
    }
    return std::get<proto::RequestVoteResponse>(effects.replies.at(0).response);
  }
  /// @return the response to entries or a heartbeat, which must come at once or when writes are
  /// synced.
  proto::AppendEntriesResponse AppendResponseTo(const proto::AppendEntriesRequest& request) {
    core_->HandleAppendEntries(now_, request, 1);
    RaftEffects effects = TakeEffects();
    if (effects.replies.empty()) {
      core_->HandlePersisted(now_, effects.writes.back().id);
      effects = TakeEffects();
    }
    return std::get<proto::AppendEntriesResponse>(effects.replies.at(0).response);
  }
  /// @return the last `Request` to `member`; an empty one if there is none.
  template <typename Request>
  static Request FindMessage(const RaftEffects& effects, std::uint64_t member) {
    Request found;
    for (const RaftMessage& message : effects.messages) {
      if (message.member_id == member && std::holds_alternative<Request>(message.request)) {
        found = std::get<Request>(message.request);
      }
    }
    return found;
  }
  /// Grants the vote of `voter` that `requested` asks for. @return the effects of this.
  RaftEffects GrantVote(const RaftEffects& requested, std::uint64_t voter) {
    const auto request = FindMessage<proto::RequestVoteRequest>(requested, voter);
    proto::RequestVoteResponse response;
    response.set_term(core_->term());
    response.set_granted(true);
    response.set_voter_id(voter);
    core_->HandleRequestVoteResponse(now_, request, response);
    return TakeEffects();
  }
  /// Elects member 1 with the vote of member 2. @return the effects of this; its no-op entry is not
  /// synced yet.
  RaftEffects Elect() {
    now_ = core_->NextWakeup();
    core_->Tick(now_);
    RaftEffects effects = GrantVote(TakeEffects(), 2);
    core_->HandlePersisted(now_, effects.writes.back().id);
    return GrantVote(TakeEffects(), 2);
  }
  /// Acknowledges, as `member`, all entries up to the last one of `request`.
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
  /// Executes `effects` and those that follow: syncs all writes, and acknowledges all entries as
  /// the `answering` members; calls to other members fail.
  void Exchange(RaftEffects effects, const std::set<std::uint64_t>& answering) {
    for (; !effects.empty(); effects = TakeEffects()) {
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
  /// Elects member 1 and commits its no-op entry (index 2) together with member 2.
  void BecomeReadyLeader() {
    Exchange(Elect(), {2});
    ASSERT_TRUE(core_->IsReadyLeader());
  }
  /// Lets time pass until the next tick, and ticks. @return the effects of this.
  RaftEffects Heartbeat() {
    now_ = core_->NextWakeup();
    core_->Tick(now_);
    return TakeEffects();
  }

  RaftCoreOptions options_;
  RaftDurableState state_;
  TimePoint now_ = TimePoint(seconds(100));
  std::optional<RaftCore> core_;
};

}  // namespace cloverbank

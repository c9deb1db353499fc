#pragma once
/// @file
/// The Raft algorithm as a pure state machine (Ongaro and Ousterhout, "In Search of an
/// Understandable Consensus Algorithm", and Ongaro's dissertation for pre-vote (9.6), check quorum
/// (6.2), leases (6.4.1), learners (4.2.1) and leadership transfer (3.10)). It does no I/O and
/// reads no clock: every input carries the time, and what the driver has to do is collected until
/// `TakeEffects`, which the driver calls after each input.
///
/// Invariants:
///  - No response and no vote request is sent before the term, vote and entries it depends on are
///    synced.
///  - The term never decreases and a vote is never changed within a term, even if the member joins
///    another cluster.
///  - A member that heard a leader or started less than the minimum election timeout ago votes for
///    nobody. The leader's lease depends on this.
///  - A leader counts its own entries towards a commit only once they are synced.
///
/// Threads: not thread-safe; the owner's event loop only.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/status.h"
#include "base/time.h"
#include "consensus/raft_log.h"
#include "consensus/raft_peer.h"
#include "consensus/raft_types.h"

namespace cloverbank {

/// Position of a proposal in the log.
struct RaftPosition {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};

class RaftCore {
 public:
  /// Starts as a follower that may have heard a leader just before it stopped, so it withholds
  /// votes at first.
  RaftCore(const RaftCoreOptions& options, RaftDurableState state, TimePoint now);

  /// Handles timeouts: elections, heartbeats, check quorum. Does nothing before `NextWakeup`.
  void Tick(TimePoint now);
  /// Sets whether writes reach the disk. A member that cannot write transfers leadership or steps
  /// down, does not stand for election, and sends no response that depends on pending writes.
  void SetWritable(TimePoint now, bool writable);
  TimePoint NextWakeup() const { return next_wakeup_; }
  /// @return the effects of the inputs since the last call.
  RaftEffects TakeEffects() { return std::exchange(effects_, {}); }

  // Requests of other members, admitted by `AdmitSender`.
  void HandleRequestVote(TimePoint now, const proto::RequestVoteRequest& request,
                         RaftReplyToken token);
  void HandleAppendEntries(TimePoint now, const proto::AppendEntriesRequest& request,
                           RaftReplyToken token);
  void HandleInstallSnapshot(TimePoint now, const proto::InstallSnapshotRequest& request,
                             RaftReplyToken token);

  /// Stands for election at once, because the leader transfers leadership to this member. Ignored
  /// unless this member is a voter that can write and follows the sender in its term.
  void HandleTimeoutNow(TimePoint now, const proto::TimeoutNowRequest& request);

  // Outcomes of this member's own requests.
  void HandleRequestVoteResponse(TimePoint now, const proto::RequestVoteRequest& request,
                                 const proto::RequestVoteResponse& response);
  void HandleAppendEntriesResponse(TimePoint now, const proto::AppendEntriesResponse& response);
  void HandleInstallSnapshotResponse(TimePoint now, const proto::InstallSnapshotResponse& response);
  /// To be called when the message `sequence` to `member_id` got no answer.
  void HandleCallFailed(std::uint64_t member_id, std::uint64_t sequence);

  /// To be called when every write up to and including `write` is synced.
  void HandlePersisted(TimePoint now, RaftWriteId write);

  /// Appends a command. @return its position. kNotLeader: not appended, because this member does
  /// not lead or is transferring leadership; kResourceExhausted: not appended, because
  /// `maximum_uncommitted_entries` are uncommitted.
  Result<RaftPosition> Propose(TimePoint now, std::string command);
  /// Adds `member` as a learner. It replaces the member that has its endpoint, else the member
  /// `replaces` (0: none named), else, in a full group, the voter that has been unresponsive for
  /// longest. A member that the group already contains gets its new endpoint instead. kNotLeader:
  /// this member does not lead; kUnavailable: another change is pending; kConflict: the group is
  /// full, or the leader would be replaced.
  Status AdmitMember(TimePoint now, const proto::RaftMember& member, std::uint64_t replaces);
  /// Transfers leadership to the voter with the longest log, e.g. before this process ends
  /// (dissertation, 3.10): refuses proposals, and once that voter has all entries makes it stand
  /// for election. From then on this leader has no lease. kNotLeader: this member is not a ready
  /// leader; kUnavailable: no other voter is active.
  Status TransferLeadership(TimePoint now);
  /// Writes `state`, a snapshot of the state after the entry `index`, and compacts the log once the
  /// snapshot is synced (Raft, section 7). Does nothing while another snapshot is being written, if
  /// the last snapshot is not older, or if `index` is not committed.
  void StoreSnapshot(std::uint64_t index, std::string state);

  /// Checks that a message of `cluster_id` to `recipient_id` is meant for this member. A member
  /// without a configuration adopts `cluster_id` if the sender knows this member's id, since only
  /// seeds and leaders have learned that id. kNotFound: another recipient; kConflict: another
  /// cluster.
  Status AdmitSender(std::uint64_t cluster_id, std::uint64_t recipient_id);
  /// Writes the first configuration of a new cluster. Requires `IsEmpty()`.
  void Bootstrap(std::uint64_t cluster_id, const proto::RaftConfiguration& configuration);

  /// Whether no other member can be leader at `now`, and all entries of earlier terms are committed
  /// here (leader lease, dissertation 6.4.1).
  bool HasLeaderLease(TimePoint now) const;
  /// Whether this member leads and has committed an entry of its own term.
  bool IsReadyLeader() const;
  /// Whether this member has never had a configuration: it cannot have acknowledged anything.
  bool IsEmpty() const { return log_.configuration().members().empty(); }
  /// Whether the latest configuration in the log contains this member.
  bool IsMember() const;
  /// Whether the member heard this leader less than the maximum election timeout ago and answered.
  bool IsResponsive(TimePoint now, std::uint64_t member_id) const;
  /// @return the number of voters that are responsive, this leader included.
  std::size_t CountResponsiveVoters(TimePoint now) const;
  /// @return the number of voters of a full group.
  std::size_t wanted_voters() const { return options_.maximum_members; }

  RaftRole role() const { return role_; }
  std::uint64_t term() const { return metadata_.current_term(); }
  std::uint64_t member_id() const { return metadata_.member_id(); }
  std::uint64_t cluster_id() const { return metadata_.cluster_id(); }
  /// 0 if unknown.
  std::uint64_t leader_id() const { return leader_id_; }
  std::uint64_t commit_index() const { return commit_index_; }
  /// Index of the first entry of this leader's term.
  std::uint64_t term_start_index() const { return term_start_index_; }
  bool IsWritingSnapshot() const { return snapshot_write_ != 0; }
  const RaftLog& log() const { return log_; }
  const proto::RaftConfiguration& configuration() const { return log_.configuration(); }

 private:
  struct UnsyncedWrite {
    RaftWriteId id = 0;
    std::uint64_t last_index = 0;  ///< Last index of the log after this write.
  };

  // raft_core.cc: terms, timers, writes.
  void TickUnwritable(TimePoint now);
  void BecomeFollower(TimePoint now, std::uint64_t new_term, std::uint64_t leader_id);
  void RecordLeaderContact(TimePoint now);
  void ResetElectionTimer(TimePoint now, Duration minimum, Duration maximum);
  void WriteMetadata();
  void AppendToLog(proto::RaftEntry entry);
  RaftWrite& AddWrite();
  /// Replies once the write `after` is synced.
  void Reply(RaftReply reply, RaftWriteId after);
  void RecordRefusal(RaftRefusal reason) { effects_.refusals.push_back(reason); }
  /// Reports a violated invariant, at which the driver has to stop the member.
  void Fail(std::string_view reason);
  Duration RandomBetween(Duration minimum, Duration maximum);
  void SetCommitIndex(std::uint64_t index);
  bool IsVoter(std::uint64_t member_id) const;
  std::size_t VoterCount() const;
  std::size_t Majority() const { return VoterCount() / 2 + 1; }

  // raft_core_election.cc
  void StartPreVote(TimePoint now);
  /// @param transfer whether the leader asked for the election: other members then vote even if
  /// they have recently heard a leader.
  void StartElection(TimePoint now, bool transfer);
  void CountVote(TimePoint now, std::uint64_t voter_id);
  void SendVoteRequests();
  void BecomeLeader(TimePoint now);
  /// Whether this member has recently heard a leader, or leads and has recently heard a majority.
  /// It then votes for nobody, since a leader's lease may depend on that.
  bool MustWithholdVote(TimePoint now) const;
  bool IsVoteAllowed(TimePoint now, const proto::RequestVoteRequest& request);
  bool IsUpToDate(const proto::RequestVoteRequest& request) const;

  // raft_core_follower.cc
  /// Follows the sender of a leader's message. @return false if its term is over, or if this member
  /// leads in the same term (a violated invariant).
  bool AcceptLeader(TimePoint now, std::uint64_t leader_term, std::uint64_t leader_id);
  /// Stores the entries and advances the commit index. @return whether the previous entry matches
  /// and the entries are well-formed. Sets the match index in `response`: on success the last index
  /// that is known to match the leader's log, otherwise the index after which the leader has to
  /// resume.
  bool AcceptEntries(const proto::AppendEntriesRequest& request,
                     proto::AppendEntriesResponse& response);
  bool MatchesPrevious(const proto::AppendEntriesRequest& request) const;
  /// @return the index after which the leader has to resume when the previous entry does not match.
  std::uint64_t FindConflictHint(const proto::AppendEntriesRequest& request) const;
  bool StoreEntries(const proto::AppendEntriesRequest& request);
  void TruncateLog(std::uint64_t index);
  /// @return the offset in bytes from which the leader has to continue.
  std::uint64_t AcceptSnapshotChunk(const proto::InstallSnapshotRequest& request);
  void InstallReceivedSnapshot(const proto::InstallSnapshotRequest& request);
  /// Removes the entries up to `snapshot_index` from the log, except the trailing ones.
  void CompactLog(std::uint64_t snapshot_index);
  /// Replaces the log on the disk by the one in memory.
  void RewriteLog();

  // raft_core_replication.cc
  void TickLeader(TimePoint now);
  /// Sends `peer` its next entries or snapshot chunk unless data is in flight or the last call
  /// failed. Otherwise sends an empty message if `heartbeat` is set.
  void ReplicateTo(TimePoint now, RaftPeer& peer, bool heartbeat);
  void SendEntries(TimePoint now, RaftPeer& peer, bool with_entries);
  void SendSnapshotChunk(TimePoint now, RaftPeer& peer);
  std::uint64_t AllocateSequence(TimePoint now, RaftPeer& peer);
  void ReplicateToAll(TimePoint now);
  /// Sends a voter its next entries at once; a learner gets them with the next heartbeat.
  void ContinueReplication(TimePoint now, std::uint64_t member);
  /// Steps down if the response is of a later term. Otherwise records that the follower has heard
  /// this leader. @return the follower; null if the response is to be ignored.
  RaftPeer* RecordResponse(TimePoint now, std::uint64_t response_term, std::uint64_t follower_id,
                           std::uint64_t sequence);
  void DecrementNextIndex(TimePoint now, RaftPeer& peer, std::uint64_t hint);
  void AdvanceCommit(TimePoint now);
  /// @return the latest time such that a majority of the voters has heard this leader then or
  /// later, judged by when the messages that they answered were sent.
  /// @param count_start_of_term whether the start of the term counts as contact with every voter.
  TimePoint LastQuorumContact(TimePoint now, bool count_start_of_term) const;

  // raft_core_transfer.cc
  /// Sends TimeoutNow once the target has all entries. Gives the transfer up at its deadline.
  void AdvanceTransfer(TimePoint now);

  // raft_core_membership.cc
  /// @return the voter that has not answered for the longest time, among those that have not for
  /// `replace_unresponsive_after` and have no responsive replacement; 0 if none.
  std::uint64_t FindLongestUnresponsiveVoter(TimePoint now) const;
  /// @return when the latest message that `peer` answered was sent; the start of the term or of its
  /// membership, whichever is later, if it answered none.
  TimePoint LastContact(const RaftPeer& peer) const;
  /// Whether `member` is a learner that has not answered for `replace_unresponsive_after`.
  bool IsUnresponsiveLearner(TimePoint now, const proto::RaftMember& member) const;
  /// Whether another member, unless it is an unresponsive learner, already replaces `voter`: a
  /// second one would make the group grow.
  bool HasResponsiveReplacement(TimePoint now, std::uint64_t voter) const;
  /// @return the configuration without learners that `joining` displaces or that are unresponsive.
  proto::RaftConfiguration RemoveDisplacedLearners(TimePoint now, const proto::RaftMember& joining,
                                                   std::uint64_t replaces) const;
  /// @return the member that `joining` is to replace; 0 if none.
  std::uint64_t FindReplacedMember(TimePoint now, const proto::RaftConfiguration& remaining,
                                   const proto::RaftMember& joining, std::uint64_t replaces) const;
  Status CheckReplacement(const proto::RaftConfiguration& remaining, std::uint64_t replaced);
  bool IsFull(const proto::RaftConfiguration& configuration) const;
  Status UpdateMemberEndpoint(TimePoint now, const proto::RaftMember& member);
  void ProposeConfiguration(TimePoint now, const proto::RaftConfiguration& configuration);
  void RebuildPeers(TimePoint now);
  /// Takes the next step of a pending membership change if a majority of the new configuration is
  /// active.
  void AdvanceMembership(TimePoint now);
  /// @return the configuration after the next step of a pending change; none if no step is due.
  std::optional<proto::RaftConfiguration> ComputeNextConfiguration(TimePoint now) const;
  bool HasActiveMajority(TimePoint now, const proto::RaftConfiguration& configuration) const;
  /// Whether the member is active and has synced all committed entries.
  bool IsCaughtUp(TimePoint now, std::uint64_t member_id) const;
  bool CanChangeMembership() const;

  const RaftCoreOptions options_;
  RaftEffects effects_;
  std::uint64_t random_state_;

  // Durable state, and how much of it is synced.
  proto::RaftMetadata metadata_;
  RaftLog log_;
  std::shared_ptr<const proto::RaftSnapshot> snapshot_;
  RaftWriteId last_write_ = 0;
  RaftWriteId last_metadata_write_ = 0;
  RaftWriteId persisted_write_ = 0;
  std::uint64_t synced_index_ = 0;
  /// Pending writes of the log, in order.
  std::deque<UnsyncedWrite> unsynced_writes_;
  std::multimap<RaftWriteId, RaftReply> pending_replies_;
  /// The write of the snapshot that `StoreSnapshot` began; 0 if none is pending.
  RaftWriteId snapshot_write_ = 0;

  RaftRole role_ = RaftRole::kFollower;
  std::uint64_t leader_id_ = 0;
  std::uint64_t commit_index_ = 0;
  TimePoint next_wakeup_;
  TimePoint withhold_votes_until_;
  bool writable_ = true;

  // Candidate and pre-candidate.
  std::set<std::uint64_t> votes_;  ///< Members that have granted their vote, itself included.
  /// The write of this candidate's vote for itself.
  RaftWriteId vote_write_ = 0;
  bool vote_requests_sent_ = false;
  bool elected_by_transfer_ = false;

  // Leader.
  std::map<std::uint64_t, RaftPeer> peers_;
  std::uint64_t term_start_index_ = 0;
  TimePoint term_started_;
  std::uint64_t last_sequence_ = 0;
  /// The voter that is to become leader; 0 if no transfer is pending.
  std::uint64_t transfer_target_ = 0;
  bool transfer_sent_ = false;
  TimePoint transfer_deadline_;

  // The chunks of an incoming snapshot so far, and the term of the leader that sends it.
  proto::RaftSnapshot incoming_snapshot_;
  std::uint64_t incoming_term_ = 0;
};

}  // namespace cloverbank

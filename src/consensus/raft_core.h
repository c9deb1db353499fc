#pragma once
/// @file
/// Raft as a pure state machine (Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", and Ongaro's dissertation for pre-vote (9.6), check-quorum and leases (6.4.1),
/// learners (4.2.1)). It holds no socket, file, thread or clock: every input names the time, and
/// what is to be done about it is collected until `TakeEffects`. Call that after each input.
///
/// Invariants:
///  - No answer and no vote request leaves before the term, vote and entries it rests on are
///  synced.
///  - Terms and votes never go back, whichever cluster a member belongs to.
///  - A member that heard a leader less than the minimum election timeout ago, or started less than
///  that
///    ago, votes for nobody. The leader's lease rests on this.
///  - A leader counts itself only up to its own synced index.
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

/// Where a proposal went in the log.
struct RaftPosition {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};

class RaftCore {
 public:
  /// Starts as a follower that may have promised its vote to a leader just before it stopped.
  RaftCore(const RaftCoreOptions& options, RaftDurableState state, TimePoint now);

  /// Does what has fallen due. To be called at `NextWakeup` or later.
  void Tick(TimePoint now);
  /// Says whether writes get to the disk now. A member whose writes wait hands leadership over or
  /// gives it up, stands for no election, and answers nothing that depends on those writes.
  void SetWritable(TimePoint now, bool writable);
  TimePoint NextWakeup() const { return next_wakeup_; }
  /// @return what the inputs since the last call ask for.
  RaftEffects TakeEffects() { return std::exchange(effects_, {}); }

  // Requests of other members, admitted by `AdmitSender`.
  void HandleRequestVote(TimePoint now, const proto::RequestVoteRequest& request,
                         RaftReplyToken token);
  void HandleAppendEntries(TimePoint now, const proto::AppendEntriesRequest& request,
                           RaftReplyToken token);
  void HandleInstallSnapshot(TimePoint now, const proto::InstallSnapshotRequest& request,
                             RaftReplyToken token);

  /// The leader hands over to this member.
  void HandleTimeoutNow(TimePoint now, const proto::TimeoutNowRequest& request);

  // Outcomes of this member's own requests.
  void HandleRequestVoteResponse(TimePoint now, const proto::RequestVoteRequest& request,
                                 const proto::RequestVoteResponse& response);
  void HandleAppendEntriesResponse(TimePoint now, const proto::AppendEntriesResponse& response);
  void HandleInstallSnapshotResponse(TimePoint now, const proto::InstallSnapshotResponse& response);
  /// No answer came to the message `sequence` that was sent to `member_id`.
  void HandleCallFailed(std::uint64_t member_id, std::uint64_t sequence);

  /// Every write up to `write` is synced.
  void HandlePersisted(TimePoint now, RaftWriteId write);

  /// Appends a command. kNotLeader: not appended; kResourceExhausted: not appended, too many wait.
  Result<RaftPosition> Propose(TimePoint now, std::string command);
  /// Takes `member` in as a learner, in place of any other at its endpoint or of `replaces`. A
  /// member that is in the group already gets its new endpoint. kUnavailable: another change is
  /// under way.
  Status AdmitMember(TimePoint now, const proto::RaftMember& member, std::uint64_t replaces);
  /// Hands leadership to the voter that is furthest on, e.g. before this process ends: refuses
  /// proposals, and once that voter has everything makes it stand for election. From then on this
  /// term's lease is over for good. kUnavailable: no other voter is heard.
  Status TransferLeadership(TimePoint now);
  /// Makes `snapshot`, taken of the applied state, durable, and shortens the log afterwards.
  void StoreSnapshot(std::uint64_t index, std::string state);

  /// Whether a message of `cluster_id` to `recipient_id` is meant for this member. A member without
  /// a configuration takes on the cluster of whoever knows its id, for it has told only seeds and
  /// leaders.
  Status AdmitSender(std::uint64_t cluster_id, std::uint64_t recipient_id);
  /// Writes the first configuration, as the lowest seed. Requires `IsEmpty()`.
  void Bootstrap(std::uint64_t cluster_id, const proto::RaftConfiguration& configuration);

  /// Whether no other member can lead now, and all that earlier leaders committed is applied.
  bool HasLeaderLease(TimePoint now) const;
  /// Whether this member leads and has committed an entry of its own term.
  bool IsReadyLeader() const;
  /// Whether this member has never held a configuration: it can not have acknowledged anything.
  bool IsEmpty() const { return log_.configuration().members().empty(); }
  /// Whether the configuration in force here contains this member.
  bool IsMember() const;

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
    std::uint64_t last_index = 0;  ///< That it leaves in the log.
  };

  // raft_core.cc: terms, timers, writes.
  void TickUnwritable(TimePoint now);
  void BecomeFollower(TimePoint now, std::uint64_t new_term, std::uint64_t leader_id);
  void RecordLeaderContact(TimePoint now);
  void ResetElectionTimer(TimePoint now, Duration minimum, Duration maximum);
  void WriteMetadata();
  void AppendToLog(proto::RaftEntry entry);
  RaftWrite& AddWrite();
  void Reply(RaftReply reply, RaftWriteId after);
  void Refuse(RaftRefusal reason) { effects_.refusals.push_back(reason); }
  void Fail(std::string_view reason);
  Duration RandomBetween(Duration minimum, Duration maximum);
  void SetCommitIndex(std::uint64_t index);
  bool IsVoter(std::uint64_t member_id) const;
  std::size_t VoterCount() const;
  std::size_t Majority() const { return VoterCount() / 2 + 1; }

  // raft_core_election.cc
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now, bool transfer);
  void CountVote(TimePoint now, std::uint64_t voter_id);
  void SendVoteRequests();
  void BecomeLeader(TimePoint now);
  bool MustWithholdVote(TimePoint now) const;
  bool IsVoteAllowed(TimePoint now, const proto::RequestVoteRequest& request);
  bool IsUpToDate(const proto::RequestVoteRequest& request) const;

  // raft_core_follower.cc
  bool AcceptLeader(TimePoint now, std::uint64_t leader_term, std::uint64_t leader_id);
  /// Stores the entries and advances the commit index. @return whether they follow on this log; the
  /// match index in `response` says how far it agrees.
  bool AcceptEntries(const proto::AppendEntriesRequest& request,
                     proto::AppendEntriesResponse& response);
  bool MatchesPrevious(const proto::AppendEntriesRequest& request) const;
  std::uint64_t FindConflictHint(const proto::AppendEntriesRequest& request) const;
  bool StoreEntries(const proto::AppendEntriesRequest& request);
  void TruncateLog(std::uint64_t index);
  /// @return the offset from which the leader should go on.
  std::uint64_t AcceptSnapshotChunk(const proto::InstallSnapshotRequest& request);
  void InstallReceivedSnapshot(const proto::InstallSnapshotRequest& request);
  void CompactLog(std::uint64_t snapshot_index);
  void RewriteLog();

  // raft_core_replication.cc
  void TickLeader(TimePoint now);
  void ReplicateTo(TimePoint now, RaftPeer& peer, bool heartbeat);
  void SendEntries(TimePoint now, RaftPeer& peer, bool with_entries);
  void SendSnapshotChunk(TimePoint now, RaftPeer& peer);
  std::uint64_t AllocateSequence(TimePoint now, RaftPeer& peer);
  void ReplicateToAll(TimePoint now);
  /// Goes on with what `member` still lacks; a learner waits for the next heartbeat.
  void ContinueReplication(TimePoint now, std::uint64_t member);
  RaftPeer* RecordResponse(TimePoint now, std::uint64_t response_term, std::uint64_t follower_id,
                           std::uint64_t sequence);
  void DecrementNextIndex(TimePoint now, RaftPeer& peer, std::uint64_t hint);
  void AdvanceCommit(TimePoint now);
  TimePoint LastQuorumContact(TimePoint now, bool count_start_of_term) const;

  // raft_core_transfer.cc
  void AdvanceTransfer(TimePoint now);

  // raft_core_membership.cc
  /// @return the voter that was not heard for the longest time, if long enough to give its place to
  /// a member at another address; else 0.
  std::uint64_t FindLongestUnresponsiveVoter(TimePoint now) const;
  /// @return when `peer` was last heard; the start of the term or of its membership if never.
  TimePoint LastContact(const RaftPeer& peer) const;
  /// Whether `member` is a learner that may be left out: it was silent for as long as a voter may.
  bool IsUnresponsiveLearner(TimePoint now, const proto::RaftMember& member) const;
  /// Whether a learner already takes the place of `voter`: a second one would make the group grow.
  bool HasResponsiveSuccessor(TimePoint now, std::uint64_t voter) const;
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
  void AdvanceMembership(TimePoint now);
  std::optional<proto::RaftConfiguration> ComputeNextConfiguration(TimePoint now) const;
  bool HasActiveMajority(TimePoint now, const proto::RaftConfiguration& configuration) const;
  bool IsActive(TimePoint now, std::uint64_t member_id) const;
  bool IsCaughtUp(TimePoint now, std::uint64_t member_id) const;
  bool CanChangeMembership() const;

  const RaftCoreOptions options_;
  RaftEffects effects_;
  std::uint64_t random_state_;

  // Durable state and how much of it is synced.
  proto::RaftMetadata metadata_;
  RaftLog log_;
  std::shared_ptr<const proto::RaftSnapshot> snapshot_;
  RaftWriteId last_write_ = 0;
  RaftWriteId last_metadata_write_ = 0;
  RaftWriteId persisted_write_ = 0;
  std::uint64_t synced_index_ = 0;
  /// Writes of the log that are under way, in order.
  std::deque<UnsyncedWrite> unsynced_writes_;
  std::multimap<RaftWriteId, RaftReply> pending_replies_;
  /// The own snapshot that is being written, and by which write.
  RaftWriteId snapshot_write_ = 0;

  RaftRole role_ = RaftRole::kFollower;
  std::uint64_t leader_id_ = 0;
  std::uint64_t commit_index_ = 0;
  TimePoint next_wakeup_;
  TimePoint withhold_votes_until_;
  bool writable_ = true;

  // Candidates.
  std::set<std::uint64_t> votes_;
  RaftWriteId vote_write_ = 0;
  bool vote_requests_sent_ = false;
  bool elected_by_transfer_ = false;

  // Leader.
  std::map<std::uint64_t, RaftPeer> peers_;
  std::uint64_t term_start_index_ = 0;
  TimePoint term_started_;
  std::uint64_t last_sequence_ = 0;
  /// Who is to take over; 0 if nobody.
  std::uint64_t transfer_target_ = 0;
  bool transfer_sent_ = false;
  TimePoint transfer_deadline_;

  // A snapshot being received: all chunks so far.
  proto::RaftSnapshot incoming_snapshot_;
  std::uint64_t incoming_term_ = 0;
};

}  // namespace cloverbank

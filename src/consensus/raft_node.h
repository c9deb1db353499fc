#pragma once
/// @file
/// `ReplicatedLog` over `RaftCore`: ties the core to time, peers and the disk, applies what is
/// committed to the state machine, and finds, founds or joins the group.
///
/// Peers call "raft.RequestVote", "raft.AppendEntries", "raft.InstallSnapshot", "raft.TimeoutNow",
/// "raft.Discover" and "raft.Join". Threads: the environment's event loop only. The node must live
/// as long as its environment's handlers.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "consensus/raft_core.h"
#include "consensus/raft_formation.h"
#include "consensus/raft_storage.h"
#include "consensus/replicated_log.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

struct RaftNodeOptions {
  /// Peer endpoints of the first members, the same list at each.
  std::vector<Endpoint> seeds;
  /// Whether seeds that are all empty may found a new group. False on every start but the first of
  /// the whole system: an empty disk then only ever joins.
  bool may_found = true;
  /// Voters of a complete group, if more than there are seeds. A group that is to bear n losses at
  /// once needs 2n + 1.
  std::size_t wanted_voters = 0;
  /// See `RaftCoreOptions`. If set, seeds say nothing of who is to be replaced: they may lag.
  Duration replace_unresponsive_after{};
  /// Shortest silence of the leader after which another is elected; the longest is twice that.
  Duration election_timeout = milliseconds(400);
  Duration heartbeat_interval = milliseconds(100);
  /// A snapshot is taken after this many commands or bytes of commands.
  std::uint64_t snapshot_threshold_entries = 10000;
  std::uint64_t snapshot_threshold_bytes = 4U << 20U;
  /// Commands before a snapshot that are kept, so that a slow member needs no snapshot.
  std::uint64_t trailing_entries = 512;
  /// Most commands in one message.
  std::size_t maximum_append_entries = 1024;
  /// Size of one message of a snapshot.
  std::size_t snapshot_chunk_bytes = 256U << 10U;
  /// Runs once when the member can not go on (a failed sync, damaged state). The node then answers
  /// nobody and leads nothing; the process should end. A full disk is no such case: the member
  /// leads nothing and votes for nobody until there is room.
  std::function<void(const Status&)> on_fatal;
};

class RaftNode final : public ReplicatedLog {
 public:
  /// All references must outlive the node.
  RaftNode(Environment& environment, DataFolder& folder, StateMachine& state_machine,
           RaftNodeOptions options);
  ~RaftNode() override;
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Reads the disk and restores the state machine. kCorrupt: the disk lost or damaged synced
  /// bytes; the member must not start on it.
  Status Load();
  /// Begins to serve peers. Requires a successful `Load`.
  void Start();

  /// Besides the documented outcomes, kResourceExhausted: not appended, too many commands wait. A
  /// refusal comes before the call returns.
  void Propose(std::string command, std::function<void(Result<std::string>)> done) override;
  /// Implies `IsReadyLeader`.
  bool HasLeaderLease() const override;
  bool IsReadyLeader() const override;
  std::uint64_t term() const override;
  Endpoint leader_endpoint() const override;
  std::vector<LogMember> members() const override;
  void OnLeadershipChange(std::function<void(bool leads)> observer) override;
  void OnApplied(std::function<void(std::uint64_t index)> observer) override;

  /// Hands leadership to another member, e.g. before the process ends; over when the observers hear
  /// that this member leads no more. kNotLeader, or kUnavailable when no other voter is heard.
  Status TransferLeadership();

  /// For status pages and tests. Requires a successful `Load`.
  const RaftCore& core() const { return *core_; }
  std::uint64_t applied_index() const { return applied_index_; }

 private:
  using Reply = std::function<void(const RaftReply*)>;
  struct PendingProposal {
    std::uint64_t term = 0;
    std::function<void(Result<std::string>)> done;
  };

  // raft_node.cc
  RaftCoreOptions CoreOptions();
  void Drain();
  void ApplyEffects(RaftEffects& effects);
  void RecordRefusal(RaftRefusal reason);
  void Apply(const proto::RaftEntry& entry);
  void MaybeTakeSnapshot();
  void FailLostProposals();
  void NotifyLeadership();
  void ArmTimer();
  void OnPersisted(RaftWriteId write);
  void OnDiskFull(const Status& status);
  void OnDiskSpaceAvailable();
  void Stop(const Status& status);

  // raft_node_peers.cc
  void ServePeers();
  template <typename Request, typename Response>
  void ServeRaftMethod(std::string_view method, std::uint64_t (Request::*sender_id)() const,
                       void (RaftCore::*handle)(TimePoint, const Request&, RaftReplyToken));
  Status Admit(std::uint64_t sender, std::uint64_t cluster_id, std::uint64_t recipient_id);
  void SendReply(const RaftReply& reply);
  void Send(RaftMessage& message);
  void SendRequest(const RaftMessage& message, const proto::RequestVoteRequest& request);
  void SendRequest(const RaftMessage& message, const proto::AppendEntriesRequest& request);
  void SendRequest(const RaftMessage& message, const proto::InstallSnapshotRequest& request);
  void SendRequest(const RaftMessage& message, const proto::TimeoutNowRequest& request);
  void OnCallFailed(std::uint64_t member_id, std::uint64_t sequence);

  // raft_node_formation.cc
  void ServeFormation();
  Result<proto::DiscoverResponse> Describe(const proto::DiscoverRequest& request);
  void HandleJoin(const proto::JoinRequest& request,
                  const std::function<void(Result<proto::JoinResponse>)>& reply);
  std::uint64_t MemberOutsideSeeds(const Endpoint& joining) const;
  void CorrectOwnEndpoint();
  Result<proto::JoinResponse> AdmitJoining(const proto::RaftMember& member, std::uint64_t replaces);
  proto::DiscoverRequest OwnIdentity() const;
  bool NeedsGroup() const;
  void ScheduleFormation();
  void StartFormationRound();
  void FinishFormationRound(const FormationRound& round);
  void RecordNotifiedMembers(const FormationRound& answers);
  void RequestJoin(const Endpoint& leader);

  Environment& environment_;
  RaftStorage storage_;
  StateMachine& state_machine_;
  const RaftNodeOptions options_;
  std::unique_ptr<RaftCore> core_;
  bool identity_durable_ = false;
  bool disk_full_ = false;
  TimerId retry_timer_ = 0;  ///< Of a write that waits for room on the disk.
  bool stopped_ = false;
  bool draining_ = false;

  std::uint64_t applied_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  std::map<std::uint64_t, PendingProposal> proposals_;  ///< By index.
  std::uint64_t led_term_ = 0;  ///< Term reported to the observers as led; 0 if none.
  std::vector<std::function<void(bool)>> leadership_observers_;
  std::vector<std::function<void(std::uint64_t)>> applied_observers_;

  TimerId wakeup_timer_ = 0;
  TimePoint wakeup_at_;
  TimerId formation_timer_ = 0;
  MemberDirectory directory_;
  /// Members that answers of others named last: seeds may all be gone by the time they are needed.
  std::set<Endpoint> notified_members_;
  /// The group was complete when this member last asked to join: it asks less often.
  bool join_refused_ = false;

  RaftReplyToken last_token_ = 0;
  /// Gets the reply; null when none will come.
  std::unordered_map<RaftReplyToken, Reply> waiting_replies_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

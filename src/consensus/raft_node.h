#pragma once
/// @file
/// `ReplicatedLog` over `RaftCore`: drives the core with time, peer messages and completed writes,
/// and applies committed entries to the state machine.
///
/// Peers call "raft.RequestVote", "raft.AppendEntries", "raft.InstallSnapshot", "raft.TimeoutNow",
/// "raft.Discover" and "raft.Join". Threads: the environment's event loop only. The node must live
/// as long as its environment's handlers.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "consensus/disk_full_handler.h"
#include "consensus/pending_proposals.h"
#include "consensus/raft_applier.h"
#include "consensus/raft_core.h"
#include "consensus/raft_formation_driver.h"
#include "consensus/raft_node_context.h"
#include "consensus/raft_node_options.h"
#include "consensus/raft_storage.h"
#include "consensus/raft_transport.h"
#include "consensus/replicated_log.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

class RaftNode final : public ReplicatedLog {
 public:
  /// All references must outlive the node.
  RaftNode(Environment& environment, DataFolder& folder, StateMachine& state_machine,
           RaftNodeOptions options);
  ~RaftNode() override;
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Reads the disk and restores the state machine. kCorrupt: the disk lost or damaged synced
  /// bytes; the member must not start with it.
  Status Load();
  /// Starts to serve peers and to write. Requires a successful `Load`.
  void Start();

  /// Besides the outcomes that `ReplicatedLog` documents, kResourceExhausted: not appended, because
  /// too many commands are uncommitted. If the command is refused, `done` runs before the call
  /// returns.
  void Propose(std::string command, std::function<void(Result<std::string>)> done) override;
  /// Implies `IsReadyLeader`.
  bool HasLeaderLease() const override;
  bool IsReadyLeader() const override;
  std::uint64_t term() const override;
  Endpoint leader_endpoint() const override;
  std::vector<LogMember> members() const override;
  void OnLeadershipChange(std::function<void(bool leads)> observer) override;
  void OnApplied(std::function<void(std::uint64_t index)> observer) override;

  /// Starts to transfer leadership to another member, e.g. before the process ends. The transfer is
  /// complete when the leadership observers run. kNotLeader: this member is not a ready leader;
  /// kUnavailable: no other voter is active.
  Status TransferLeadership();

  /// For status pages and tests. Requires a successful `Load`.
  const RaftCore& core() const { return *context_.core; }
  std::uint64_t applied_index() const { return context_.applied_index; }

 private:
  RaftCoreOptions CoreOptions();
  /// Executes the core's effects until there are none. Nested calls return at once.
  void ExecuteEffects();
  void Execute(RaftEffects& effects);
  /// Restores the snapshot, applies committed entries, and takes a snapshot if one is due.
  Status ApplyCommitted(const RaftEffects& effects);
  void NotifyLeadership();
  void ScheduleWakeup();
  void OnPersisted(RaftWriteId write);
  void Stop(const Status& status);

  RaftNodeContext context_;
  RaftStorage storage_;
  RaftApplier applier_;
  PendingProposals proposals_;
  DiskFullHandler disk_full_handler_;
  RaftFormationDriver formation_;
  RaftTransport transport_;
  bool executing_effects_ = false;

  /// The term in which the observers were last told that this member leads; 0 if none.
  std::uint64_t notified_term_ = 0;
  std::vector<std::function<void(bool)>> leadership_observers_;
  std::vector<std::function<void(std::uint64_t)>> applied_observers_;

  TimerId wakeup_timer_ = 0;
  TimePoint wakeup_at_;
};

}  // namespace cloverbank

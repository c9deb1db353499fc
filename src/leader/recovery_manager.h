#pragma once
/// @file
/// Advances the recoveries of dead queue nodes through their replicated phases (docs/DESIGN.md
/// section 5; RAMCloud page, "Recovery"). Pure: `Step` returns the actions due, given the
/// replicated state and the answers of backups. Every action may be repeated, and the progress may
/// be lost: a new leader continues from the replicated phase and lists the backups' segments again.

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "control_state/control_state.h"
#include "leader/log_assembly.h"
#include "leader/partition_placement.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// Call backup.StartReadingData; report with `HandleReadingData`.
struct StartReadingAction {
  NodeId dead;
  NodeId backup;
  Endpoint endpoint;
};
/// Propose a StartReplayCommand.
struct ProposeReplayAction {
  proto::StartReplayCommand command;
};
/// Call queue.RecoverPartitions; if it answers done, propose a FinishAssignmentCommand.
struct RecoverPartitionsAction {
  Endpoint endpoint;
  proto::RecoverPartitionsRequest request;
};
/// Call backup.ReleaseRecoveryData; report with `HandleReleased`.
struct ReleaseAction {
  NodeId dead;
  NodeId backup;
  Endpoint endpoint;
};
/// Propose a FinishRecoveryCommand.
struct ProposeFinishAction {
  NodeId dead;
};
using RecoveryAction = std::variant<StartReadingAction, ProposeReplayAction,
                                    RecoverPartitionsAction, ReleaseAction, ProposeFinishAction>;

struct RecoveryOptions {
  Duration retry_interval = milliseconds(300);   ///< Between attempts at one backup.
  Duration replay_interval = milliseconds(500);  ///< Between repeats of RecoverPartitions.
  /// Calls of each kind in flight. Bounded apart: after a restart of the fleet the log of every
  /// earlier incarnation is released at every backup, and readings must not wait for that.
  std::size_t maximum_reading_calls = 256;
  std::size_t maximum_release_calls = 64;
};

/// Input of `Step` besides the replicated state.
struct RecoveryInput {
  TimePoint now;
  bool may_assign = true;         ///< As `ArrivalGate` says.
  std::set<NodeId> unresponsive;  ///< See `FindEligibleQueueNodes`.
};

class RecoveryManager {
 public:
  explicit RecoveryManager(RecoveryOptions options) : options_(options) {}

  /// Drops all progress: this member became leader.
  void Reset() {
    progress_.clear();
    proposed_placements_.clear();
  }

  /// @return the actions due now. Proposals are returned at each step until they are applied.
  std::vector<RecoveryAction> Step(const ControlState& state, const RecoveryInput& input);

  /// A backup answered StartReadingData, or failed to.
  void HandleReadingData(NodeId dead, NodeId backup,
                         Result<proto::StartReadingDataResponse> answer);
  /// A backup answered ReleaseRecoveryData, or failed to.
  void HandleReleased(NodeId dead, NodeId backup, const Status& status);

  /// @return whether a recovery has a complete log and partitions not yet assigned for replay.
  bool IsWaitingForQueueNodes(const ControlState& state) const;
  /// @return a description, for people, of what the recovery of `dead` waits for; empty if nothing.
  std::string DescribeAwaited(const ControlState& state, NodeId dead) const;

 private:
  /// A call at one backup.
  struct BackupCall {
    bool in_flight = false;
    bool done = false;
    TimePoint next_attempt;
    std::string failure;
  };
  struct Progress {
    std::map<NodeId, BackupCall> reading_calls;  // By backup.
    std::map<NodeId, BackupCall> release_calls;
    StoredSegments stored_segments;
    bool log_is_outdated = true;  // `log` must be assembled again.
    AssembledLog log;
    std::map<NodeId, TimePoint> next_replay;  // By queue node.
  };

  using BackupCalls = std::map<NodeId, BackupCall>;  // By backup.

  /// Drops the progress of recoveries that are over and placements that the state shows.
  void ForgetFinished(const ControlState& state);
  void AdvanceRecovery(const ControlState& state, const proto::Recovery& recovery,
                       const RecoveryInput& input, std::vector<RecoveryAction>* actions);
  void RequestStoredSegments(const ControlState& state, NodeId dead, TimePoint now,
                             Progress* progress, std::vector<RecoveryAction>* actions);
  void UpdateAssembledLog(const ControlState& state, NodeId dead, Progress* progress) const;
  void ProposeReplay(const ControlState& state, NodeId dead, const RecoveryInput& input,
                     std::vector<RecoveryAction>* actions);
  /// @return placements proposed for other recoveries that the state does not show yet.
  PlannedLoads SumOtherPlacements(NodeId dead) const;
  void RequestReplays(const ControlState& state, const proto::Recovery& recovery, TimePoint now,
                      Progress* progress, std::vector<RecoveryAction>* actions) const;
  void RequestReleases(const ControlState& state, NodeId dead, TimePoint now, Progress* progress,
                       std::vector<RecoveryAction>* actions);
  /// @return by queue node, the requests for its unfinished assignments, without segments.
  static std::map<NodeId, proto::RecoverPartitionsRequest> MakeReplayRequests(
      const proto::Recovery& recovery);
  static void AddSegments(const ControlState& state, const AssembledLog& log,
                          proto::RecoverPartitionsRequest* request);
  static void DescribeAwaitedBackups(const ControlState& state, const BackupCalls& calls,
                                     std::vector<std::string>* awaited);
  static void DescribeAwaitedReplays(const ControlState& state, const proto::Recovery& recovery,
                                     std::vector<std::string>* awaited);
  /// @return number of calls of a kind in flight.
  std::size_t CountInFlight(BackupCalls Progress::*kind) const;
  /// Marks the call as in flight if it is due and `available` is not 0. @return whether it did.
  bool TryStartCall(TimePoint now, BackupCall* call, std::size_t* available) const;

  RecoveryOptions options_;
  std::size_t available_reading_calls_ = 0;  // In the current step.
  std::size_t available_release_calls_ = 0;
  std::map<NodeId, Progress> progress_;                 // By dead node.
  std::map<NodeId, PlannedLoads> proposed_placements_;  // Not in the state yet, by dead node.
};

}  // namespace cloverbank

#pragma once
/// @file
/// Advances the recoveries of dead queue nodes through their replicated phases (docs/DESIGN.md
/// section 5; RAMCloud page, "Recovery"). Does no I/O: `Step` returns the actions that are due,
/// given the replicated state and the answers of backups. Every action may be repeated, and the
/// progress, which is not replicated, may be lost: a new leader continues from the replicated phase
/// and lists the backups' segments again.

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

/// Call backup.StartReadingData and report the result with `HandleReadingData`.
struct StartReadingAction {
  NodeId dead;
  NodeId backup;
  Endpoint endpoint;
};
/// Propose a StartReplayCommand.
struct ProposeReplayAction {
  proto::StartReplayCommand command;
};
/// Call queue.RecoverPartitions. If the response says that the replay is done, propose a
/// FinishAssignmentCommand.
struct RecoverPartitionsAction {
  Endpoint endpoint;
  proto::RecoverPartitionsRequest request;
};
/// Call backup.ReleaseRecoveryData and report the result with `HandleReleased`.
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
  Duration retry_interval = milliseconds(300);   ///< Between calls of one kind at one backup.
  Duration replay_interval = milliseconds(500);  ///< Between RecoverPartitions calls at one node.
  /// Limits of the StartReadingData and ReleaseRecoveryData calls in flight. Separate, because
  /// after a restart of the fleet the log of every earlier incarnation is released at every backup,
  /// and StartReadingData calls must not wait for that.
  std::size_t maximum_reading_calls = 256;
  std::size_t maximum_release_calls = 64;
};

/// Input of `Step` besides the replicated state.
struct RecoveryInput {
  TimePoint now;
  bool may_assign = true;         ///< Whether `ArrivalGate` allows the assignment of partitions.
  std::set<NodeId> unresponsive;  ///< See `FindEligibleQueueNodes`.
};

class RecoveryManager {
 public:
  explicit RecoveryManager(RecoveryOptions options) : options_(options) {}

  /// Drops all progress. Call it when this member becomes leader.
  void Reset() {
    progress_.clear();
    proposed_placements_.clear();
  }

  /// @return the actions due now. A proposal is returned at each step until the replicated state
  /// shows that it has been applied.
  std::vector<RecoveryAction> Step(const ControlState& state, const RecoveryInput& input);

  /// Records the response of `backup` to StartReadingData for `dead`, or the error of the call,
  /// which is repeated later. Ignored if the recovery is over.
  void HandleReadingData(NodeId dead, NodeId backup,
                         Result<proto::StartReadingDataResponse> answer);
  /// Records whether `backup` released the log of `dead`. After an error the call is repeated
  /// later. Ignored if the recovery is over.
  void HandleReleased(NodeId dead, NodeId backup, const Status& status);

  /// @return whether there is a recovery that has a complete log and partitions not yet assigned to
  /// a queue node for replay.
  bool IsWaitingForQueueNodes(const ControlState& state) const;
  /// @return a human-readable description of what the recovery of `dead` waits for; empty if it
  /// waits for nothing or is unknown.
  std::string DescribePendingWork(const ControlState& state, NodeId dead) const;

 private:
  /// State of the calls of one kind to one backup.
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

  /// Drops the progress of recoveries that are over, and proposed placements that the state shows
  /// by now.
  void ForgetFinished(const ControlState& state);
  void AdvanceRecovery(const ControlState& state, const proto::Recovery& recovery,
                       const RecoveryInput& input, std::vector<RecoveryAction>* actions);
  /// Adds a StartReadingAction for each live backup whose call is due.
  void RequestStoredSegments(const ControlState& state, NodeId dead, TimePoint now,
                             Progress* progress, std::vector<RecoveryAction>* actions);
  /// Assembles the log of `dead` again if the answers of the backups have changed.
  void UpdateAssembledLog(const ControlState& state, NodeId dead, Progress* progress) const;
  /// Adds a ProposeReplayAction that assigns the unassigned partitions of `dead` to queue nodes, if
  /// there are such partitions and a live queue node.
  void ProposeReplay(const ControlState& state, NodeId dead, const RecoveryInput& input,
                     std::vector<RecoveryAction>* actions);
  /// @return the placements that are proposed for recoveries other than that of `dead` and that the
  /// state does not show yet.
  PlannedLoads SumOtherPlacements(NodeId dead) const;
  /// Adds a RecoverPartitionsAction for each live queue node with an unfinished replay that is due.
  void RequestReplays(const ControlState& state, const proto::Recovery& recovery, TimePoint now,
                      Progress* progress, std::vector<RecoveryAction>* actions) const;
  /// Adds a ReleaseAction for each live backup whose call is due, or a ProposeFinishAction if all
  /// live backups have released the log.
  void RequestReleases(const ControlState& state, NodeId dead, TimePoint now, Progress* progress,
                       std::vector<RecoveryAction>* actions);
  /// @return for each queue node, the request to replay its unfinished assignments, without
  /// segments.
  static std::map<NodeId, proto::RecoverPartitionsRequest> MakeReplayRequests(
      const proto::Recovery& recovery);
  /// Adds the segments of `log` and the endpoints of their backups to `request`.
  static void AddSegments(const ControlState& state, const AssembledLog& log,
                          proto::RecoverPartitionsRequest* request);
  static void DescribePendingBackupCalls(const ControlState& state, const BackupCalls& calls,
                                         std::vector<std::string>* pending);
  static void DescribePendingReplays(const ControlState& state, const proto::Recovery& recovery,
                                     std::vector<std::string>* pending);
  /// @return number of calls in flight in all recoveries.
  /// @param kind the member of `Progress` with the calls to count.
  std::size_t CountInFlight(BackupCalls Progress::*kind) const;
  /// Marks the call as in flight and decrements `available`, if the call is due and `available` is
  /// not 0. @return whether it did.
  bool TryStartCall(TimePoint now, BackupCall* call, std::size_t* available) const;

  RecoveryOptions options_;
  // Calls that the current step may still start within the limits of `RecoveryOptions`.
  std::size_t available_reading_calls_ = 0;
  std::size_t available_release_calls_ = 0;
  std::map<NodeId, Progress> progress_;                 // By dead node.
  std::map<NodeId, PlannedLoads> proposed_placements_;  // Not in the state yet, by dead node.
};

}  // namespace cloverbank

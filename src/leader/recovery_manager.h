#pragma once
/// @file
/// Steers the recoveries of dead queue nodes through their replicated phases (docs/DESIGN.md
/// section 5; RAMCloud page, "Recovery"). Pure: `Step` looks at the replicated state and at what
/// the backups answered and returns what to do now. Everything it asks for may be repeated; what it
/// remembers may be lost: a new leader starts from the replicated phase and reads the backups'
/// lists again.

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
  Duration retry_interval = milliseconds(300);   ///< Between tries at a backup.
  Duration replay_interval = milliseconds(500);  ///< Between repeats of RecoverPartitions.
  /// Calls of each kind under way at a time. After a loss of everything each queue node's earlier
  /// life is released at each backup, and recoveries must not wait behind that.
  std::size_t maximum_reading_calls = 256;
  std::size_t maximum_release_calls = 64;
};

/// What `Step` needs to know besides the replicated state.
struct RecoveryInput {
  TimePoint now;
  bool may_assign = true;         ///< `ArrivalGate` is open.
  std::set<NodeId> unresponsive;  ///< Silent nodes; given partitions only if there are no others.
};

class RecoveryManager {
 public:
  explicit RecoveryManager(RecoveryOptions options) : options_(options) {}

  /// Forgets what is not replicated: this member became leader.
  void Reset() {
    progress_.clear();
    proposed_.clear();
  }

  /// @return what to do now. Proposals are returned at each step until the state has changed.
  std::vector<RecoveryAction> Step(const ControlState& state, const RecoveryInput& input);

  /// A backup answered StartReadingData, or failed to.
  void HandleReadingData(NodeId dead, NodeId backup,
                         Result<proto::StartReadingDataResponse> answer);
  /// A backup answered ReleaseRecoveryData, or failed to.
  void HandleReleased(NodeId dead, NodeId backup, const Status& status);

  /// @return whether a recovery has its whole log and only waits to be given to queue nodes.
  bool IsWaitingForQueueNodes(const ControlState& state) const;
  /// @return for people: what the recovery of `dead` waits for; empty if nothing.
  std::string DescribeAwaited(const ControlState& state, NodeId dead) const;

 private:
  /// A call at one backup.
  struct Call {
    bool in_flight = false;
    bool done = false;
    TimePoint next;
    std::string failure;
  };
  struct Progress {
    std::map<NodeId, Call> readings;  // By backup.
    std::map<NodeId, Call> releases;
    StoredSegments answers;
    bool log_changed = true;  // `log` must be assembled anew.
    AssembledLog log;
    std::map<NodeId, TimePoint> next_replay;  // By queue node.
  };

  using Calls = std::map<NodeId, Call>;  // By backup.

  /// Drops the progress of recoveries that are over and placements that the state shows.
  void ForgetFinished(const ControlState& state);
  void AdvanceRecovery(const ControlState& state, const proto::Recovery& recovery,
                       const RecoveryInput& input, std::vector<RecoveryAction>* actions);
  void ReadBackups(const ControlState& state, NodeId dead, TimePoint now, Progress* progress,
                   std::vector<RecoveryAction>* actions);
  void AssembleChangedLog(const ControlState& state, NodeId dead, Progress* progress) const;
  void ProposeReplay(const ControlState& state, NodeId dead, const RecoveryInput& input,
                     std::vector<RecoveryAction>* actions);
  /// @return what was proposed for other recoveries and is not in the state yet.
  PlannedLoads SumOtherPlacements(NodeId dead) const;
  void SendReplays(const ControlState& state, const proto::Recovery& recovery, TimePoint now,
                   Progress* progress, std::vector<RecoveryAction>* actions) const;
  void ReleaseBackups(const ControlState& state, NodeId dead, TimePoint now, Progress* progress,
                      std::vector<RecoveryAction>* actions);
  /// @return by queue node, the requests for its unfinished assignments, without segments.
  static std::map<NodeId, proto::RecoverPartitionsRequest> UnfinishedReplays(
      const proto::Recovery& recovery);
  static void AddSegments(const ControlState& state, const AssembledLog& log,
                          proto::RecoverPartitionsRequest* request);
  static void DescribeAwaitedBackups(const ControlState& state, const Calls& calls,
                                     std::vector<std::string>* awaited);
  static void DescribeAwaitedReplays(const ControlState& state, const proto::Recovery& recovery,
                                     std::vector<std::string>* awaited);
  /// @return how many calls of a kind are under way.
  std::size_t CountInFlight(Calls Progress::*kind) const;
  /// @return whether the call is due now and `available` is left; marks it as under way.
  bool TryBegin(TimePoint now, Call* call, std::size_t* available) const;

  RecoveryOptions options_;
  std::size_t available_reading_calls_ = 0;  // In the present step.
  std::size_t available_release_calls_ = 0;
  std::map<NodeId, Progress> progress_;      // By dead node.
  std::map<NodeId, PlannedLoads> proposed_;  // Replays not in the state yet, by dead node.
};

}  // namespace cloverbank

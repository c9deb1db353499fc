#pragma once
/// @file
/// Schedules sweeps: periodic listings of the segment replicas on each backup. A sweep finds
/// segments of dead nodes whose recovery has finished; a backup still has them if it was
/// unreachable when they were released. A sweep also counts the replicas left on a backup that is
/// being retired. Does no I/O: `BackupSweepExecutor` makes the calls.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// @return the owners of `replicas` whose segments can be released: dead, not being recovered, and
/// registered by this group. Node ids are never reused.
std::set<NodeId> FindLeftoverOwners(const proto::ListSegmentsResponse& replicas,
                                    const ControlState& state);

class BackupSweeper {
 public:
  /// @param interval between sweeps of a backup.
  /// @param retiring_interval between sweeps of a backup while the backup is being retired.
  /// @param settling_time a sweep of a retiring backup counts its replicas only if it begins at
  /// least this long after the retirement was seen. The caller passes one node lease: after that,
  /// no queue node with a valid lease can place new replicas on the backup.
  BackupSweeper(Duration interval, Duration retiring_interval, Duration settling_time)
      : interval_(interval), retiring_interval_(retiring_interval), settling_time_(settling_time) {}

  /// Forgets all sweeps; each live backup is due at once.
  void Reset() { sweeps_.clear(); }
  /// @return the live backups to be listed now. The sweep of each is in flight until the caller
  /// reports its result with `HandleReplicaList` or `HandleFailure`.
  std::vector<NodeId> StartDueSweeps(const ControlState& state, TimePoint now);
  /// Ends the sweep of `backup`, which answered with `replicas`. Ignored if it is no longer live.
  void HandleReplicaList(NodeId backup, const proto::ListSegmentsResponse& replicas);
  /// Ends the sweep of `backup`, whose call failed. The last count of replicas stays.
  void HandleFailure(NodeId backup);
  /// @return number of replicas on the backup at its last successful sweep; no value before the
  /// first, nor if the backup was seen retiring and that sweep began before the settling time was
  /// over.
  std::optional<std::size_t> FindReplicaCount(NodeId backup) const;
  /// @return the same for a backup that is being retired by now; no value unless the sweep began
  /// after the backup was seen retiring and had settled.
  std::optional<std::size_t> FindReplicaCountOfRetiring(NodeId backup) const;

 private:
  struct Sweep {
    bool in_flight = false;
    TimePoint next_start;
    std::optional<TimePoint> retiring_since;  ///< When this leader first saw it retiring.
    bool counts = true;                       ///< Whether the result of the sweep in flight counts.
    std::optional<std::size_t> replicas;
  };

  /// Records whether the backup is being retired. When its retirement begins, counts from before
  /// are forgotten, the one in flight included, and the next sweep is due at once.
  static void RecordRetirement(bool retiring, TimePoint now, Sweep* sweep);
  /// Marks `sweep` as in flight from `now` and sets when the next one is due.
  void Start(TimePoint now, Sweep* sweep) const;

  Duration interval_;
  Duration retiring_interval_;
  Duration settling_time_;
  std::map<NodeId, Sweep> sweeps_;
};

}  // namespace cloverbank

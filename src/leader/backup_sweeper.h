#pragma once
/// @file
/// Schedules sweeps: periodic listings of the segment replicas on each backup. A sweep finds
/// segments of dead nodes whose recovery has finished, which a backup keeps that was unreachable
/// when they were released; and it counts the replicas left on a backup that is being retired.
/// Pure.

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
  /// @param retiring_interval the same while the backup is being retired.
  /// @param settling_time how long after the retirement began a sweep counts: one node lease, after
  /// which no queue node with a valid lease can place new replicas on the backup.
  BackupSweeper(Duration interval, Duration retiring_interval, Duration settling_time)
      : interval_(interval), retiring_interval_(retiring_interval), settling_time_(settling_time) {}

  void Reset() { sweeps_.clear(); }
  /// @return backups to be listed now. Each is in flight until `HandleReplicaList` or
  /// `HandleFailure` reports its result.
  std::vector<NodeId> StartDueSweeps(const ControlState& state, TimePoint now);
  void HandleReplicaList(NodeId backup, const proto::ListSegmentsResponse& replicas);
  void HandleFailure(NodeId backup);
  /// @return number of replicas on the backup at its last sweep; none before the first sweep, and
  /// none for a retiring backup before the first sweep that began after the settling time.
  std::optional<std::size_t> FindReplicaCount(NodeId backup) const;

 private:
  struct Sweep {
    bool in_flight = false;
    TimePoint next_start;
    std::optional<TimePoint> retiring_since;  ///< When this leader saw it first.
    bool is_settled = true;                   ///< Whether the sweep in flight counts.
    std::optional<std::size_t> replicas;
  };

  /// Marks `sweep` as in flight from `now` and sets when the next is due.
  void Start(bool retiring, TimePoint now, Sweep* sweep) const;

  Duration interval_;
  Duration retiring_interval_;
  Duration settling_time_;
  std::map<NodeId, Sweep> sweeps_;
};

}  // namespace cloverbank

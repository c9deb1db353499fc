#pragma once
/// @file
/// Looks from time to time at what each backup keeps. Segments of dead nodes whose recovery is
/// over, left by a backup that was away when they were released, are released then; and the number
/// of replicas on a backup that is being retired tells when it is empty. Pure.

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

/// @return the dead nodes among the owners of `replicas` whose segments nobody needs: not live, not
/// being recovered, and registered by this group (ids are given out once).
std::set<NodeId> FindLeftoverOwners(const proto::ListSegmentsResponse& replicas,
                                    const ControlState& state);

class BackupSweeper {
 public:
  /// @param settle how long after the order to retire a backup its list says that it stays empty:
  /// a node lease, since by then no queue node that may act can still choose it.
  BackupSweeper(Duration interval, Duration retiring_interval, Duration settling_time)
      : interval_(interval), retiring_interval_(retiring_interval), settling_time_(settling_time) {}

  void Reset() { sweeps_.clear(); }
  /// @return backups whose list is to be fetched now; report each with `HandleReplicaList` or
  /// `HandleFailure`.
  std::vector<NodeId> StartDueSweeps(const ControlState& state, TimePoint now);
  void HandleReplicaList(NodeId backup, const proto::ListSegmentsResponse& replicas);
  void HandleFailure(NodeId backup);
  /// @return replicas on the backup when last looked at; nothing if that is not known yet, or does
  /// not count yet because the backup has only just been retired.
  std::optional<std::size_t> FindReplicaCount(NodeId backup) const;

 private:
  struct Sweep {
    bool in_flight = false;
    TimePoint next;
    std::optional<TimePoint> retiring_since;  ///< As far as this leader saw it.
    bool is_settled = true;                   ///< Whether the sweep under way began late enough.
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

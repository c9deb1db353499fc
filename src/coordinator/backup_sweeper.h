#pragma once
/// @file
/// Looks from time to time at what each backup keeps. Segments of dead nodes whose recovery is
/// over, left by a backup that was away when they were released, are released then; and the number
/// of replicas on a backup that is being retired tells when it is empty. Pure.

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "coordinator/control_state.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// @return the dead nodes among the owners of `replicas` whose segments nobody needs: not live, not
/// being recovered, and registered by this group (ids are given out once).
std::set<NodeId> FindLeftovers(const proto::ListSegmentsResponse& replicas,
                               const ControlState& state);

class BackupSweeper {
 public:
  BackupSweeper(Duration interval, Duration retiring_interval)
      : interval_(interval), retiring_interval_(retiring_interval) {}

  void Reset() { looks_.clear(); }
  /// @return backups whose list is to be fetched now; report each with `OnListed` or `OnFailed`.
  std::vector<NodeId> Due(const ControlState& state, TimePoint now);
  void OnListed(NodeId backup, const proto::ListSegmentsResponse& replicas);
  void OnFailed(NodeId backup);
  /// @return replicas on the backup when last looked at; -1 if not known yet.
  std::int64_t ReplicasOn(NodeId backup) const;

 private:
  struct Look {
    bool in_flight = false;
    TimePoint next;
    std::int64_t replicas = -1;
  };

  Duration interval_;
  Duration retiring_interval_;
  std::map<NodeId, Look> looks_;
};

}  // namespace cloverbank

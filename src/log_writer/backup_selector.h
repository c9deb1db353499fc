#pragma once
/// @file
/// Choice of the backups for a segment: at random (RAMCloud page, "Normal Operation Walkthrough"
/// step 6.2) among the backups that are up, one a zone as far as there are zones. Spare backups, on
/// front machines, are chosen only for replicas that regular backups can not take.
///
/// Pure: random numbers come from the caller. Threads: none of its own.

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "control_client/node_agent.h"

namespace cloverbank {

struct BackupRequest {
  std::size_t count = 0;     ///< How many to choose.
  std::size_t replicas = 0;  ///< Wanted in all; spares are chosen only below this.
  std::set<NodeId> locations =
      {};                       ///< Have a replica already: not chosen, their zones count as used.
  std::set<NodeId> avoid = {};  ///< Failed or refused recently, or out of disk: not chosen.
};

/// @return up to `count` different backups; fewer when there are no more.
std::vector<NodeId> SelectBackups(const FleetView& fleet, const BackupRequest& request,
                                  const std::function<std::uint64_t()>& random);

/// @return whether `server` is a backup that may be given new segments.
bool AcceptsNewSegments(const proto::Server& server);

}  // namespace cloverbank

#pragma once
/// @file
/// Chooses the backups for a segment: at random (RAMCloud page, "Normal Operation Walkthrough" step
/// 6.2) among the backups that are up, in as many different zones as possible. Spare backups, which
/// run on front machines, are chosen only for replicas that regular backups cannot take.
///
/// Pure functions, any thread: random numbers come from the caller.

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "control_client/node_agent.h"

namespace cloverbank {

struct BackupRequest {
  std::size_t count = 0;     ///< Number of backups to choose.
  std::size_t replicas = 0;  ///< Number wanted in all; spares are chosen only up to it.
  std::set<NodeId> locations =
      {};                       ///< Have a replica already: not chosen, their zones count as used.
  std::set<NodeId> avoid = {};  ///< Failed or refused recently, or out of disk: not chosen.
};

/// @return `request.count` different backups, or fewer if there are no more.
/// @param random returns uniformly distributed numbers.
std::vector<NodeId> SelectBackups(const FleetView& fleet, const BackupRequest& request,
                                  const std::function<std::uint64_t()>& random);

/// @return whether `server` is a backup that may be given new segments.
bool AcceptsNewSegments(const proto::Server& server);

}  // namespace cloverbank

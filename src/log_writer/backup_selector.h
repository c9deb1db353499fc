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
  std::size_t count = 0;  ///< Number of backups to choose.
  /// Target number of replicas of the segment. Spare backups are chosen only while the segment has
  /// fewer.
  std::size_t replicas = 0;
  /// Backups that have a replica already. They are not chosen, and their zones count as used.
  std::set<NodeId> locations = {};
  /// Backups that failed or refused recently or have no disk space. They are not chosen.
  std::set<NodeId> avoid = {};
};

/// @return `request.count` different backups, or fewer if there are no more.
/// @param random returns uniformly distributed numbers.
std::vector<NodeId> SelectBackups(const FleetView& fleet, const BackupRequest& request,
                                  const std::function<std::uint64_t()>& random);

/// @return whether `server` is a backup that may be given new segments.
bool AcceptsNewSegments(const proto::Server& server);

}  // namespace cloverbank

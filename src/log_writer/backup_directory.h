#pragma once
/// @file
/// Finds out from the fleet view which backups are live, which of them failed recently, and which
/// one has a given replica now. The disk identifies the location of a replica, because a restarted
/// backup has a new node id and still has its replicas.
///
/// Threads: the owner's event loop only.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control_client/node_agent.h"
#include "log_writer/backup_selector.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Where one replica is.
struct ReplicaLocation {
  NodeId node;          ///< The backup's node id when the replica was opened.
  std::string disk_id;  ///< Empty if the backup reported none: then `node` identifies it.
  Endpoint endpoint;    ///< Last known one of the backup.
};

/// Number of replicas on live backups, by kind of backup.
struct ReplicaCount {
  std::size_t regular = 0;
  std::size_t spare = 0;
  std::size_t retiring = 0;  ///< Regular or spare.
};

class BackupDirectory {
 public:
  /// @param failure_cooldown time for which `Select` skips a backup after `RecordFailure`.
  BackupDirectory(Environment& environment, NodeAgent& agent, Duration failure_cooldown)
      : environment_(environment), agent_(agent), failure_cooldown_(failure_cooldown) {}

  /// @return the live backup that has the disk of `location` now, or nullptr.
  const proto::Server* FindBackup(const ReplicaLocation& location) const;
  /// @return the node id of the backup that `FindBackup` returns, or the last known one while it is
  /// not live.
  NodeId GetCurrentNode(const ReplicaLocation& location) const;
  /// Counts the replicas at `locations`, except those on lost backups.
  ReplicaCount CountByKind(const std::vector<ReplicaLocation>& locations) const;
  /// @return whether a set that includes other backups would have fewer replicas on spare or
  /// retiring ones.
  bool HasBetterBackups(const std::vector<ReplicaLocation>& locations) const;
  /// @return the endpoint of the backup that `FindBackup` returns, or the last known one while it
  /// is not live.
  Endpoint GetEndpoint(const ReplicaLocation& location) const;
  /// @return the location of a new replica on `node`, which must be in the fleet view.
  ReplicaLocation GetLocation(NodeId node) const;

  /// Records that a call to `node` failed: reports `node` to the coordinators as suspect, and
  /// `Select` does not choose it for `failure_cooldown`.
  void RecordFailure(NodeId node);
  /// Records that a call to `node` succeeded.
  void RecordSuccess(NodeId node) { failed_at_.erase(node); }

  /// Chooses up to `count` backups for further replicas of a segment.
  /// @param replicas number wanted in all. @param locations of the replicas that the segment has.
  /// @param excluded locations that must not be chosen.
  /// @return the node ids, fewer than `count` if there are no more backups.
  std::vector<NodeId> Select(std::size_t count, std::size_t replicas,
                             const std::vector<ReplicaLocation>& locations,
                             const std::vector<ReplicaLocation>& excluded);

 private:
  std::set<NodeId> GetRecentlyFailed();

  Environment& environment_;
  NodeAgent& agent_;
  Duration failure_cooldown_;
  std::map<NodeId, TimePoint> failed_at_;  ///< Time of the last failure.
};

}  // namespace cloverbank

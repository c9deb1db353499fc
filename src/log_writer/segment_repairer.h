#pragma once
/// @file
/// Keeps the closed segments of the log on enough backups: replaces replicas on lost backups, moves
/// replicas away from spare and retiring ones, and frees replicas that are no longer needed. A
/// replica counts once the backup has synced and closed it. The content is read from another
/// replica, because closed segments are not kept in memory.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "log_writer/log_context.h"

namespace cloverbank {

/// A closed segment of the log that is not freed.
struct ClosedSegment {
  SegmentId id;
  HeadEpoch epoch;  ///< Highest epoch under which a replica was opened.
  std::uint64_t length = 0;
  std::uint64_t checksum = 0;              ///< Of the content.
  std::vector<ReplicaLocation> locations;  ///< Of the replicas that count.
  bool repairing = false;                  ///< A repair is in progress.
};

class SegmentRepairer : public std::enable_shared_from_this<SegmentRepairer> {
 public:
  explicit SegmentRepairer(LogContext& context) : context_(context) {}

  /// Adds a segment with closed replicas at `segment.locations`.
  void Add(ClosedSegment segment);
  /// Frees all replicas of the segment (RAMCloud page, "Log Cleaning"). Requires that a head whose
  /// digest leaves it out is committed.
  void Free(SegmentId segment);
  /// Starts the repairs that are needed, up to `SegmentLogOptions::max_parallel_repairs` at a time.
  /// Call it on fleet changes and on a timer.
  void Advance();

  const std::map<SegmentId, ClosedSegment>& segments() const { return segments_; }
  /// Whether some segment has fewer live replicas than `SegmentLogOptions::replicas`.
  bool IsDegraded() const;

  /// Whether a repair of the segment is in progress.
  bool IsRepairing(SegmentId segment) const;
  /// @return whether the live backup that has the disk of `location` is `backup`.
  bool IsLocationOnBackup(const ReplicaLocation& location, NodeId backup) const;
  /// @return the closed segments with a replica on `backup`.
  std::set<SegmentId> FindSegmentsOn(NodeId backup) const;
  /// Stops counting the replica on `backup`. @return false if the segment was freed.
  bool RemoveLocation(SegmentId segment, NodeId backup);
  /// Frees the replica if a live backup has the disk of `location`. Otherwise sends nothing,
  /// because a backup with another disk may have the endpoint by now, and its replica must never be
  /// freed.
  void FreeReplica(const ReplicaLocation& location, SegmentId segment);

 private:
  /// A repair in progress: copies one segment from `source` to `target`.
  struct Repair {
    SegmentId segment;
    ReplicaLocation source;
    ReplicaLocation target;
    HeadEpoch epoch;
    std::string data;  ///< Content of the segment, once read.
  };
  using RepairPtr = std::shared_ptr<Repair>;
  using Step = void (SegmentRepairer::*)(const RepairPtr&);

  std::vector<ReplicaLocation> FindLiveLocations(const ClosedSegment& segment) const;
  /// Starts a repair of the segment if it needs one and a backup can take it.
  void RepairIfNeeded(ClosedSegment& segment);
  void StartRepair(ClosedSegment& segment, const ReplicaLocation& source,
                   const ReplicaLocation& target);
  /// Frees the replicas on retiring backups and, with `spares_too`, on spares; removes the
  /// locations on lost backups.
  void FreeUnneededReplicas(ClosedSegment& segment, bool spares_too);

  void Read(const RepairPtr& repair);
  void HandleRead(const RepairPtr& repair, Result<proto::ReadSegmentResponse> result);
  void Open(const RepairPtr& repair);
  void Write(const RepairPtr& repair);
  void Close(const RepairPtr& repair);
  void CompleteRepair(const RepairPtr& repair);
  /// Ends the repair. @param failed_location the backup whose call failed or whose content is
  /// wrong.
  void FailRepair(const RepairPtr& repair, const ReplicaLocation& failed_location,
                  const Status& status);
  /// @return the handler of a response from `target`: runs `next` on success, otherwise ends the
  /// repair.
  BackupClient::Done ContinueWith(const RepairPtr& repair, Step next);
  void HandleStep(const RepairPtr& repair, Step next, const Status& status);

  LogContext& context_;
  std::map<SegmentId, ClosedSegment> segments_;
  std::size_t repairs_in_progress_ = 0;
};

}  // namespace cloverbank

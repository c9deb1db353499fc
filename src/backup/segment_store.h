#pragma once
/// @file
/// State of a backup's replicas, and the pure decisions behind the calls on segments, keyed by
/// (node id, segment id) (RAMCloud page, "Segment Durability"). Each call is decided into a
/// `ReplicaChange`: the disk writes to sync before the call may be answered. The owner carries it
/// out, then passes it to `Apply` or `Abandon`; between the decision and that, no other call on the
/// replica may be decided.
///
/// Threads: none of its own; called on the owner's event loop.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backup/segment_file.h"
#include "base/time.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// @return the key of the replica that `request` names.
template <typename Request>
ReplicaKey ReplicaKeyFor(const Request& request) {
  return {NodeId(request.node_id()), SegmentId(request.segment_id())};
}

struct SegmentStoreOptions {
  /// Largest segment that may be opened.
  std::uint64_t maximum_segment_bytes = 64ULL << 20U;
  /// Bound on the capacities of all open segments together: each keeps a staging buffer in memory.
  std::uint64_t staging_bytes = 512ULL << 20U;
  /// Disk kept free for headers and fences: a recovery must not fail on a full disk.
  std::uint64_t spare_disk_bytes = 16ULL << 20U;
  /// How long opening a freed segment again under the same epoch is refused: a message that was
  /// delayed while this process was frozen must not recreate it.
  Duration freed_segment_retention = seconds(5);
};

/// One replica as the backup knows it.
struct Replica {
  ReplicaHeader header;      ///< As synced.
  std::uint64_t length = 0;  ///< Synced bytes.
  std::string staging;       ///< The bytes of an open replica; empty once closed or sealed.
  /// Valid while a replacement is written over older content, which counts under its own epoch
  /// until the replacement is complete.
  HeadEpoch replacement_epoch;
  bool corrupt = false;  ///< A check failed: never offered again.
  bool failed = false;   ///< A disk write failed: takes no more writes; what was synced counts.
  bool checked = false;  ///< Checked since it was sealed, so its digest is known.
  std::vector<std::uint64_t> digest;

  /// The highest epoch under which a call on it was accepted.
  HeadEpoch current_epoch() const;
  bool IsOpen() const;
  /// Whether recoveries and repairs may use it. An empty replica never had an acknowledged entry
  /// and must not stand for one that did.
  bool IsOffered() const;
};

/// The disk writes of one call, in the order of the members. An empty change needs none.
struct ReplicaChange {
  bool remove = false;  ///< Remove the file first.
  bool create = false;  ///< Reserve a new file and write its first header (`header`).
  std::optional<ReplicaHeader> header_before;  ///< Synced before the data is written.
  std::string data;                            ///< Written at `length` of the segment.
  std::optional<ReplicaHeader> header;         ///< Synced after the data.
  bool truncate = false;        ///< Release the reserved space behind `header->length`.
  HeadEpoch replacement_epoch;  ///< When valid, kept in memory only.
};

/// `Write`, `SetEpoch` and `Close` also refuse kCorrupt once a check of the replica failed, and
/// kIoError once a disk write of it failed.
class SegmentStore {
 public:
  explicit SegmentStore(const SegmentStoreOptions& options) : options_(options) {}

  /// Opens a replica, or a replacement over an older one. Refuses kFenced, kStaleEpoch, kConflict
  /// (closed; `detail` is its length), kResourceExhausted (disk or staging memory).
  Result<ReplicaChange> Open(const proto::OpenSegmentRequest& request, std::uint64_t free_bytes,
                             TimePoint now);
  /// Refuses kFenced, kNotFound, kStaleEpoch, kConflict (closed, gap or replacement not complete;
  /// `detail` is the length stored), kCorrupt (differs from the stored bytes, or not complete
  /// entries).
  Result<ReplicaChange> Write(const proto::WriteSegmentRequest& request);
  /// Raises the epoch of an open replica. Refuses kFenced, kNotFound, kStaleEpoch, kConflict
  /// (closed).
  Result<ReplicaChange> SetEpoch(const proto::SetSegmentEpochRequest& request);
  /// Refuses kFenced, kNotFound, kConflict (another length, or replacement not complete).
  Result<ReplicaChange> Close(const proto::CloseSegmentRequest& request);
  /// Removes a replica for its owner; unknown ones need no change. Refuses kFenced.
  Result<ReplicaChange> Free(const proto::FreeSegmentRequest& request);
  /// Closes an open replica of a dead node at `length`.
  ReplicaChange Seal(const ReplicaKey& key, std::uint64_t length);
  /// Removes a replica, of a fenced owner too.
  ReplicaChange Remove(const ReplicaKey& key);

  /// Applies a change that is synced. @param now time of a removal.
  void Apply(const ReplicaKey& key, const ReplicaChange& change, TimePoint now);
  /// Records that a change failed part-way: the replica takes no more writes.
  void Abandon(const ReplicaKey& key, const ReplicaChange& change);

  /// Adds a replica found on disk.
  void Restore(Replica replica);
  /// Refuses every later call of `node` as kFenced, also of an unknown one.
  void Fence(NodeId node) { fenced_.insert(node); }
  bool IsFenced(NodeId node) const { return fenced_.contains(node); }
  const std::set<NodeId>& fenced() const { return fenced_; }

  /// Records that the replica failed a check: it is never offered again.
  void SetCorrupt(const ReplicaKey& key);
  /// Records that the replica's bytes passed their check. @param digest found in them.
  void RecordChecked(const ReplicaKey& key, std::vector<std::uint64_t> digest);

  /// @return the replica, valid until the next change, or nullptr.
  const Replica* Find(const ReplicaKey& key) const;
  /// @return the keys of all replicas of `node`, in order.
  std::vector<ReplicaKey> FindKeys(NodeId node) const;
  const std::map<ReplicaKey, Replica>& replicas() const { return replicas_; }
  /// @return the capacities of all open replicas and opens under way.
  std::uint64_t staging_bytes() const;

 private:
  Result<ReplicaChange> OpenNew(const proto::OpenSegmentRequest& request, std::uint64_t free_bytes,
                                bool remove_first);
  Result<ReplicaChange> Reopen(const Replica& replica, const proto::OpenSegmentRequest& request);
  Status CheckWrite(const Replica& replica, const proto::WriteSegmentRequest& request) const;
  Result<Replica*> FindForWriter(const ReplicaKey& key);
  bool WasFreedRecently(const ReplicaKey& key, HeadEpoch epoch, TimePoint now);

  struct FreedSegment {
    HeadEpoch epoch;
    TimePoint time;
  };

  SegmentStoreOptions options_;
  std::map<ReplicaKey, Replica> replicas_;
  std::map<ReplicaKey, std::uint64_t> opening_capacities_;  ///< Capacity of opens under way.
  std::map<ReplicaKey, FreedSegment> freed_segments_;
  std::set<NodeId> fenced_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// State of a backup's replicas, keyed by (node id, segment id), and the decisions behind the calls
/// on segments (RAMCloud page, "Segment Durability"). The decisions do no I/O: each call either
/// returns the reason to refuse it or a `ReplicaChange`, the disk writes that must be synced before
/// the call may be answered. The owner carries these out, then passes the change to `Apply`, or to
/// `Abandon` if a write failed. Between the decision and that, no other call on the same replica
/// may be decided.
///
/// Threads: has no threads of its own; call on the owner's event loop only.

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
  /// Largest capacity, in bytes, that a segment may be opened with.
  std::uint64_t maximum_segment_bytes = 64ULL << 20U;
  /// Limit on the sum of the capacities of all open segments, because each of them keeps a staging
  /// buffer in memory.
  std::uint64_t staging_bytes = 512ULL << 20U;
  /// Disk space kept free for headers and fences, because a recovery must not fail on a full disk.
  std::uint64_t spare_disk_bytes = 16ULL << 20U;
  /// How long after freeing a segment the store refuses to open it again under the same or an older
  /// epoch: a message that was delayed while this process was frozen must not recreate the segment.
  Duration freed_segment_retention = seconds(5);
};

/// The state of one replica in memory.
struct Replica {
  ReplicaHeader header;      ///< The last synced header.
  std::uint64_t length = 0;  ///< Bytes of segment content that are synced.
  /// The bytes of an open replica; empty once it is closed or sealed, or if it was loaded for a
  /// fenced node.
  std::string staging;
  /// Epoch of a replacement that is being written over older content; invalid if there is none. The
  /// older content keeps its own epoch until the replacement is complete.
  HeadEpoch replacement_epoch;
  bool corrupt = false;  ///< A check failed; the replica is never offered again.
  bool failed = false;   ///< A disk write failed: no more writes, but synced content stays valid.
  bool checked = false;  ///< The recovery check passed and `digest` is set.
  std::vector<std::uint64_t> digest;  ///< Segment ids of the log digest in this segment.

  /// @return the highest epoch of any accepted call on this replica.
  HeadEpoch current_epoch() const;
  /// @return whether the replica is neither closed nor sealed.
  bool IsOpen() const;
  /// @return whether recoveries and repairs may use this replica. An empty replica never held an
  /// acknowledged entry and must not be used in place of one that did.
  bool IsOffered() const;
};

/// The disk writes of one call, in the order of the members. A default-constructed change needs no
/// writes.
struct ReplicaChange {
  bool remove = false;  ///< Remove the existing file first.
  bool create = false;  ///< Reserve a new file and write its first header (`header`).
  std::optional<ReplicaHeader> header_before;  ///< Synced before the data is written.
  std::string data;                            ///< Appended at the replica's `length`.
  std::optional<ReplicaHeader> header;         ///< Synced after the data.
  bool truncate = false;  ///< Release the reserved space after `header->length`.
  /// If valid, becomes the replica's `replacement_epoch`; in memory only, not on disk.
  HeadEpoch replacement_epoch;
};

/// Besides the errors listed at each call, `Write`, `SetEpoch` and `Close` return kCorrupt after a
/// check of the replica failed, and kIoError after a disk write to it failed.
class SegmentStore {
 public:
  explicit SegmentStore(const SegmentStoreOptions& options) : options_(options) {}

  /// Opens a new replica, or starts a replacement of an existing open or corrupt one.
  /// @param free_bytes free space on the disk.
  /// @return kFenced, kStaleEpoch (an older epoch, or the segment was freed recently), kConflict
  /// (the replica is closed; `detail` is its length), kInvalidArgument (an id or the epoch is 0, or
  /// the capacity is out of range), kResourceExhausted (disk space or staging memory) or kIoError
  /// (an earlier disk write failed) if the call is refused.
  Result<ReplicaChange> Open(const proto::OpenSegmentRequest& request, std::uint64_t free_bytes,
                             TimePoint now);
  /// Appends those bytes of the request that are not stored yet.
  /// @return kFenced, kNotFound, kStaleEpoch, kConflict (the replica is closed or the write would
  /// leave a gap, with the stored length as `detail`; or a replacement is not complete),
  /// kResourceExhausted (beyond the capacity) or kCorrupt (the data differs from the stored bytes
  /// or does not consist of complete entries) if the call is refused.
  Result<ReplicaChange> Write(const proto::WriteSegmentRequest& request);
  /// Raises the epoch of an open replica.
  /// @return kFenced, kNotFound, kStaleEpoch or kConflict (the replica is closed) if the call is
  /// refused.
  Result<ReplicaChange> SetEpoch(const proto::SetSegmentEpochRequest& request);
  /// Closes a replica; a closed or sealed replica of the same length needs no change.
  /// @return kFenced, kNotFound or kConflict (the length differs from the stored length, which is
  /// `detail`; or a replacement is not complete) if the call is refused.
  Result<ReplicaChange> Close(const proto::CloseSegmentRequest& request);
  /// Removes a replica on behalf of its owner; an unknown replica needs no change.
  /// @return kFenced if the call is refused.
  Result<ReplicaChange> Free(const proto::FreeSegmentRequest& request);
  /// Seals an open replica of a dead node at `length` bytes; a replica in any other state needs no
  /// change.
  ReplicaChange Seal(const ReplicaKey& key, std::uint64_t length);
  /// Removes a replica, even if its owner is fenced; an unknown replica needs no change.
  ReplicaChange Remove(const ReplicaKey& key);

  /// Applies a change after it is synced.
  /// @param now recorded as the time of the removal if the change removes the replica.
  void Apply(const ReplicaKey& key, const ReplicaChange& change, TimePoint now);
  /// Records that a disk write of the change failed: the replica accepts no more writes, and it is
  /// corrupt if the change was to remove its file.
  void Abandon(const ReplicaKey& key, const ReplicaChange& change);

  /// Adds a replica found on disk.
  void Restore(Replica replica);
  /// Refuses every later call of `node` with kFenced; the node need not have any replica.
  void Fence(NodeId node) { fenced_.insert(node); }
  bool IsFenced(NodeId node) const { return fenced_.contains(node); }
  const std::set<NodeId>& fenced() const { return fenced_; }

  /// Records that the replica failed a check, so that it is never offered again.
  void SetCorrupt(const ReplicaKey& key);
  /// Records that the replica's bytes passed the recovery check.
  /// @param digest segment ids of the log digest in these bytes.
  void RecordChecked(const ReplicaKey& key, std::vector<std::uint64_t> digest);

  /// @return the replica, or nullptr if there is none. The pointer is valid until the next call
  /// that changes the store.
  const Replica* Find(const ReplicaKey& key) const;
  /// @return the keys of all replicas of `node`, in order.
  std::vector<ReplicaKey> FindKeys(NodeId node) const;
  const std::map<ReplicaKey, Replica>& replicas() const { return replicas_; }
  /// @return the sum of the capacities of all open replicas and of opens in progress, in bytes.
  std::uint64_t staging_bytes() const;

 private:
  /// Opens a new replica. @param remove_first whether to remove an existing file before.
  Result<ReplicaChange> OpenNew(const proto::OpenSegmentRequest& request, std::uint64_t free_bytes,
                                bool remove_first);
  /// Opens a replica that exists: a repeated open, or the start of a replacement.
  Result<ReplicaChange> Reopen(const Replica& replica, const proto::OpenSegmentRequest& request);
  Status CheckWrite(const Replica& replica, const proto::WriteSegmentRequest& request) const;
  /// @return the replica, or the reason why its owner may not change it.
  Result<Replica*> FindForWriter(const ReplicaKey& key);
  /// @return whether the replica was freed under `epoch` or a newer one within
  /// `freed_segment_retention`. Forgets segments that were freed earlier.
  bool WasFreedRecently(const ReplicaKey& key, HeadEpoch epoch, TimePoint now);

  struct FreedSegment {
    HeadEpoch epoch;
    TimePoint time;
  };

  SegmentStoreOptions options_;
  std::map<ReplicaKey, Replica> replicas_;
  std::map<ReplicaKey, std::uint64_t> opening_capacities_;  ///< Of opens in progress.
  std::map<ReplicaKey, FreedSegment> freed_segments_;
  std::set<NodeId> fenced_;
};

}  // namespace cloverbank

#pragma once
/// @file
/// Counts the live entries of each segment of the log, to find segments that can be freed. An entry
/// is dead once its batch is removed. The tombstone itself (BatchRemoved, or a PartitionWatermark
/// that discards earlier entries) is live for as long as an earlier segment has an entry that it
/// makes dead (RAMCloud page, "Log Cleaning").
///
/// Does no I/O and starts no thread; not thread-safe.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

class SegmentUsage {
 public:
  /// Counts an entry written to `segment`. Call it in log order.
  void AddEntry(SegmentId segment, const proto::LogEntry& entry);
  /// @return whether `segment` has no live entry.
  bool IsDead(SegmentId segment) const;
  /// Records that `segment` was freed at the backups, so that tombstones for its entries may become
  /// dead.
  void Forget(SegmentId segment);

 private:
  /// A batch within one generation of its partition. After a watermark that discards earlier
  /// entries, a replay may log the same batch again under the next generation.
  struct BatchKey {
    std::uint64_t partition_tag = 0;
    std::uint64_t generation = 0;
    std::string batch_id;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const BatchKey&) const = default;
  };
  /// The entries of a batch, and its tombstone.
  struct BatchUsage {
    std::map<SegmentId, std::uint64_t> entry_counts;  ///< Number of entries by segment.
    SegmentId tombstone;  ///< Segment of the tombstone; invalid while the batch is live.
  };

  /// Marks the entries of the batch dead. @param tombstone segment that has the tombstone.
  void MarkDead(const BatchKey& key, BatchUsage& usage, SegmentId tombstone);
  /// Marks the tombstone of a dead batch dead if no earlier segment has an entry of the batch.
  /// @return whether it did, so that the batch can be removed.
  bool DropUnneededTombstone(BatchUsage& usage);

  std::map<BatchKey, BatchUsage> batches_;
  /// Number of watermarks that discard earlier entries, by partition tag.
  std::map<std::uint64_t, std::uint64_t> generations_;
  std::map<SegmentId, std::set<BatchKey>> batches_by_segment_;
  std::map<SegmentId, std::uint64_t> live_entries_;  ///< Number of live entries by segment.
};

/// @return the id of the batch that `entry` belongs to; empty if there is none.
const std::string& BatchIdOf(const proto::LogEntry& entry);

}  // namespace cloverbank

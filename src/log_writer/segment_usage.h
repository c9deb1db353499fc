#pragma once
/// @file
/// Which segments of the log still hold live entries. An entry is dead once its batch is removed;
/// the tombstone itself (BatchRemoved, or a PartitionWatermark that voids what was before it) is
/// live for as long as an earlier segment still holds an entry that it kills (RAMCloud page, "Log
/// Cleaning").
///
/// Pure. Threads: none of its own.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

class SegmentUsage {
 public:
  /// Counts an entry written to `segment`. Entries are told in log order.
  void AddEntry(SegmentId segment, const proto::LogEntry& entry);
  /// @return whether nothing in `segment` is needed any more.
  bool IsDead(SegmentId segment) const;
  /// `segment` was freed at the backups: tombstones for its entries may die.
  void Forget(SegmentId segment);

 private:
  /// A batch as logged by one replay or owner of its partition: after a mark that voids what is
  /// before it, the same batch may be logged anew and then is another one here.
  struct BatchKey {
    std::uint64_t partition_tag = 0;
    std::uint64_t generation = 0;
    std::string batch_id;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const BatchKey&) const = default;
  };
  struct BatchUse {
    std::map<SegmentId, std::uint64_t> entries;  ///< Entries by segment.
    SegmentId tombstone;                         ///< Invalid while the batch lives.
  };

  void MarkDead(const BatchKey& key, BatchUse& use, SegmentId tombstone);
  /// Drops what is no longer needed of a dead batch. @return whether nothing is left.
  bool DropUnreferenced(BatchUse& use);

  std::map<BatchKey, BatchUse> batches_;
  std::map<std::uint64_t, std::uint64_t> generations_;  ///< Marks seen, by partition tag.
  std::map<SegmentId, std::set<BatchKey>> batches_in_;
  std::map<SegmentId, std::uint64_t> live_;
};

/// @return the batch that the entry is about; empty for entries about none.
const std::string& BatchIdOf(const proto::LogEntry& entry);

}  // namespace cloverbank

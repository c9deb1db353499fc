#pragma once
/// @file
/// Orders the entries of one partition found in a dead node's log, for a recovery: sorts them by
/// the partition's own sequence and drops duplicates, void entries (before a watermark that
/// discards earlier ones) and dead entries (of batches that were removed or never accepted). The
/// new owner logs the rest again, under the same sequences.
///
/// Pure. Threads: none of its own.

#include <map>
#include <vector>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

class PartitionReplay {
 public:
  /// Adds an entry of the partition. Entries must come in log order.
  void Add(proto::LogEntry entry);

  /// @return the live entries in order of sequence. Call it once, after the last `Add`.
  std::vector<proto::LogEntry> TakeEntries();
  /// @return the new owner's first sequence: above those of all added entries, dead ones included.
  PartitionSequence next_sequence() const { return next_sequence_; }

 private:
  /// Clears the forwarded requests of items that have a result. They are not needed any more, and
  /// logging them again would only prolong the recovery.
  void ClearRequestsOfFinishedItems();

  std::map<PartitionSequence, proto::LogEntry> entries_;
  PartitionSequence next_sequence_{1};
};

}  // namespace cloverbank

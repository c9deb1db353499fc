#pragma once
/// @file
/// Orders the entries of one partition found in a dead node's log, for a recovery: sorts by the
/// partition's own sequence and drops duplicates and entries that are void or dead. The new owner
/// logs the rest again, under the same sequences.
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

  /// @return the live entries by rising sequence. Call it once, at the end.
  std::vector<proto::LogEntry> TakeEntries();
  /// First sequence of the new owner: above all entries added, dead ones included.
  PartitionSequence next_sequence() const { return next_sequence_; }

 private:
  /// Items that have a result do not need their request any more; logging it again would only
  /// prolong the recovery.
  void ClearRequestsOfFinishedItems();

  std::map<PartitionSequence, proto::LogEntry> entries_;
  PartitionSequence next_sequence_{1};
};

}  // namespace cloverbank

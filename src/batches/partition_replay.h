#pragma once
/// @file
/// Puts the entries that a dead node's log holds of one partition in order, for a recovery: the
/// partition's own sequence decides, second copies of an entry are dropped, and so is everything
/// that is void or dead. What is left is what the new owner logs anew, under the same sequences.
///
/// Pure. Threads: none of its own.

#include <map>
#include <vector>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

class PartitionReplay {
 public:
  /// Takes an entry of the partition. Entries must come in log order.
  void Add(proto::LogEntry entry);

  /// @return the live entries by rising sequence. Call it once, at the end.
  std::vector<proto::LogEntry> TakeEntries();
  /// The new owner's entries begin here: above everything seen, dead entries included.
  PartitionSequence next_sequence() const { return next_sequence_; }

 private:
  /// Requests of items that have their result are never needed again: logging them anew would only
  /// make the recovery longer.
  void DropFinishedRequests();

  std::map<PartitionSequence, proto::LogEntry> entries_;
  PartitionSequence next_sequence_{1};
};

}  // namespace cloverbank

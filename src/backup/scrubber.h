#pragma once
/// @file
/// Reads and checks the closed and sealed replicas in turn, one per interval, to find damage while
/// other replicas are still intact and the owner of the segment can repair it.
///
/// Threads: call on the owner's event loop only.

#include "backup/segment_store.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

class Scrubber {
 public:
  Scrubber(Environment& environment, DataFolder& folder, SegmentStore& store, Duration interval);
  ~Scrubber();
  Scrubber(const Scrubber&) = delete;
  Scrubber& operator=(const Scrubber&) = delete;

  /// Schedules a check after one interval, and then one check per interval until destruction.
  void Start();

 private:
  /// Checks the replica after `last_scrubbed_` in key order, starting over after the last one.
  void ScrubNext();

  Environment& environment_;
  DataFolder& folder_;
  SegmentStore& store_;
  Duration interval_;
  TimerId timer_ = 0;
  ReplicaKey last_scrubbed_;
};

}  // namespace cloverbank

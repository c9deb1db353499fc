#pragma once
/// @file
/// Reads and checks closed replicas in turn, one in each interval, to find damage while other
/// replicas are intact and the owner can repair it.
///
/// Threads: the owner's event loop only.

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

  /// Schedules the next check, and from then on one in each interval.
  void Start();

 private:
  void ScrubNext();

  Environment& environment_;
  DataFolder& folder_;
  SegmentStore& store_;
  Duration interval_;
  TimerId timer_ = 0;
  ReplicaKey last_scrubbed_;
};

}  // namespace cloverbank

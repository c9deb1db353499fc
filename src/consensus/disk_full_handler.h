#pragma once
/// @file
/// Makes a member unable to lead and vote while its disk is full, and retries the write until there
/// is space. Threads: the environment's event loop only.

#include "base/status.h"
#include "consensus/raft_node_context.h"
#include "consensus/raft_storage.h"

namespace cloverbank {

class DiskFullHandler {
 public:
  /// `context` and `storage` must outlive this object.
  DiskFullHandler(RaftNodeContext& context, RaftStorage& storage)
      : context_(context), storage_(storage) {}
  ~DiskFullHandler() { Stop(); }
  DiskFullHandler(const DiskFullHandler&) = delete;
  DiskFullHandler& operator=(const DiskFullHandler&) = delete;

  /// To be called at each attempt of a write that finds the disk full. Makes the member unable to
  /// lead and vote, and schedules the next attempt.
  void OnDiskFull(const Status& status);
  /// To be called when a write has succeeded. If the disk was full, the member may lead and vote
  /// again.
  void OnWriteSucceeded();
  /// Cancels the retry.
  void Stop();

 private:
  RaftNodeContext& context_;
  RaftStorage& storage_;
  bool disk_full_ = false;
  TimerId retry_timer_ = 0;
};

}  // namespace cloverbank

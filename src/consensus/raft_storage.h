#pragma once
/// @file
/// A member's files: "consensus/metadata" and "consensus/snapshot" (one framed record each,
/// replaced atomically), and "consensus/log" (framed `RaftLogRecord`s, one per write).
///
/// Writes are executed one after another, with group commit of those that are queued. So at most
/// the last record of the log can be torn, and the files can be loaded after each step:
///  - a torn write of the log is dropped; no response depended on it;
///  - a conflicting suffix is overwritten by the same record that appends its replacement, so that
///    the suffix cannot reappear without it;
///  - a snapshot is written before the log is compacted: until then the log starts earlier than
///    needed;
///  - a received snapshot that conflicts with the log is written before the log is cleared: a log
///    that does not contain the snapshot's last entry is dropped at load.
///
/// A write that finds the disk full leaves no partial data. It stays pending, with all later
/// writes, until `Retry` repeats it.
///
/// Threads: the owner's event loop only.

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/status.h"
#include "consensus/raft_types.h"
#include "storage/data_folder.h"

namespace cloverbank {

class RaftStorage {
 public:
  /// @param on_persisted gets the id of the last write that is synced; all earlier writes are
  /// synced too.
  /// @param on_failed gets the first failure other than a full disk; nothing is written after it.
  /// @param on_disk_full runs at each attempt of a write that finds the disk full, from the
  /// completion callback of `folder`.
  RaftStorage(DataFolder& folder, std::function<void(RaftWriteId)> on_persisted,
              std::function<void(Status)> on_failed, std::function<void(Status)> on_disk_full);

  /// @return the state on the disk; `metadata.member_id()` is 0 if it is empty. kCorrupt if synced
  /// bytes are damaged or missing: the member has to restart with an empty disk and a new id.
  Result<RaftDurableState> Load();
  /// Queues `write`. Nothing reaches the disk before `Start`.
  void Write(RaftWrite write);
  void Start();
  /// Repeats the write that found the disk full, if there is one.
  void Retry();

 private:
  using Step = void (RaftStorage::*)();

  Result<std::string> ReadIfPresent(const std::string& name);
  /// Reads a file of one record into `message`. `present` tells whether the file exists and is not
  /// empty.
  Status LoadRecord(const std::string& name, google::protobuf::MessageLite& message, bool& present);
  Status LoadLog(RaftDurableState& state);
  /// Checks that the files belong together, and drops a log that does not contain the last entry of
  /// the snapshot.
  Status ReconcileFiles(RaftDurableState& state);
  /// Queues a write that replaces the log file, after its torn tail or its entries were dropped.
  void QueueLogRewrite(const RaftDurableState& state);
  void StartNextWrite();
  void WriteMetadata();
  void WriteSnapshot();
  void WriteLog();
  void FinishWrite();
  /// @return a completion callback for `step`: it runs `next` if the write succeeded, else
  /// `HandleFailure`. It does nothing if this object has been destroyed or has failed.
  /// @param step the step of the write, to be repeated if the disk is full.
  DataFolder::Done ContinueWith(Step step, Step next);
  void HandleFailure(Step step, Status status);

  DataFolder& folder_;
  std::function<void(RaftWriteId)> on_persisted_;
  std::function<void(Status)> on_failed_;
  std::function<void(Status)> on_disk_full_;
  std::deque<RaftWrite> queue_;
  RaftWrite current_write_;
  bool started_ = false;
  bool write_in_progress_ = false;
  bool failed_ = false;
  Step step_to_retry_ = nullptr;  ///< The step that found the disk full; null if none.
  bool log_needs_rewrite_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

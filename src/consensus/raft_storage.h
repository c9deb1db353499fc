#pragma once
/// @file
/// A member's files: "consensus/metadata" and "consensus/snapshot" (one framed record each,
/// replaced whole), and "consensus/log" (framed `RaftLogRecord`s, one a write).
///
/// Writes are carried out one after another, those that wait together as one. So at most the last
/// record of the log can be torn, and each step leaves files that load:
///  - a write cut short in the log is dropped; nothing had been answered on its strength;
///  - a conflicting suffix is overruled by a later record, which comes to the disk along with the
///  reason
///    for it, so that the suffix can not come back alone;
///  - a snapshot is written before the log is shortened: until then the log starts earlier than
///  needed;
///  - a received snapshot that contradicts the log is written before the log is emptied: a log that
///  does not
///    contain the snapshot's last entry is dropped at load.
///
/// A write for which the disk has no room leaves nothing behind. It waits, with all that comes
/// after it, and is carried out anew by `Retry`.
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
  /// @param on_persisted gets the number of the last write that is synced, writes before it
  /// included.
  /// @param on_failed gets the first failure; nothing is written after it.
  /// @param on_full a write found the disk full, at each try. Called from the folder's completions.
  RaftStorage(DataFolder& folder, std::function<void(RaftWriteId)> on_persisted,
              std::function<void(Status)> on_failed, std::function<void(Status)> on_full);

  /// @return what the disk holds; `metadata.member_id()` is 0 on an empty disk. kCorrupt if synced
  /// bytes are damaged or missing: the member has to start again with an empty disk, under a new
  /// id.
  Result<RaftDurableState> Load();
  /// Queues `write`. Nothing reaches the disk before `Start`.
  void Write(RaftWrite write);
  void Start();
  /// Tries the write again that found the disk full, if there is one.
  void Retry();

 private:
  using Step = void (RaftStorage::*)();

  Result<std::string> ReadIfPresent(const std::string& name);
  Status LoadRecord(const std::string& name, google::protobuf::MessageLite& message, bool& present);
  Status LoadLog(RaftDurableState& state);
  Status Reconcile(RaftDurableState& state);
  void QueueRewrite(const RaftDurableState& state);
  void StartNext();
  void WriteMetadata();
  void WriteSnapshot();
  void WriteLog();
  void Finish();
  /// @return a callback that goes on with `next` unless the write failed or this object is gone.
  /// @param step that of the write, which is repeated if the disk is full.
  DataFolder::Done ContinueWith(Step step, Step next);
  void HandleFailure(Step step, Status status);

  DataFolder& folder_;
  std::function<void(RaftWriteId)> on_persisted_;
  std::function<void(Status)> on_failed_;
  std::function<void(Status)> on_full_;
  std::deque<RaftWrite> queue_;
  RaftWrite current_;
  bool started_ = false;
  bool busy_ = false;
  bool failed_ = false;
  Step pending_step_ = nullptr;  ///< For room on the disk.
  bool log_needs_rewrite_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank

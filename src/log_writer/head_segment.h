#pragma once
/// @file
/// The open segment at the head of the log and its set of backups: chooses the backups, writes to
/// them, changes the set and closes the segment (RAMCloud page, "Segment Durability" and "Normal
/// Operation Walkthrough" steps 6 to 11).
///
/// Each change of the set of backups raises the *epoch* of the segment:
/// 1. Candidates are opened under a later epoch and receive the content, hidden from recoveries
///    (atomic_replace).
/// 2. The new set is fixed and the epoch raised; until step 5 no further content becomes durable.
/// 3. The new members receive the rest of the content and become visible to recoveries; the other
///    members receive the new epoch.
/// 4. The coordinators commit the set.
/// 5. Content that all members have synced counts as durable again.
///
/// Invariant: no replica outside the committed set can be offered to a recovery under the committed
/// epoch, and every acknowledged entry is in every replica of that set.
///
/// A member whose call failed is retried (writes are idempotent) until another backup has replaced
/// it or the set was changed to one without it, so a short outage of all backups changes nothing.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "log_writer/log_context.h"
#include "log_writer/repeated_step.h"
#include "log_writer/segment_content.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class HeadSegment : public std::enable_shared_from_this<HeadSegment> {
 public:
  /// @param content the framed entries at its start: header, digest, watermarks.
  /// @param on_progress runs on the event loop after a response or a retry that may have changed
  /// the state that the functions below return.
  HeadSegment(LogContext& context, SegmentId id, std::string content,
              std::function<void()> on_progress);

  /// Starts the calls that are due. Call it after `Append`, on fleet changes and on a timer.
  void Advance();

  /// Frames and appends an entry. Requires `Fits`.
  void Append(const proto::LogEntry& entry) { content_.Append(entry); }
  /// Whether an entry of `framed_bytes` bytes, framing included, fits into the segment.
  bool Fits(std::uint64_t framed_bytes) const { return content_.Fits(framed_bytes); }

  /// Allows the commit at the coordinators. Until then a successor only opens its replicas.
  void AllowCommit();
  /// Starts to close the replicas on all backups. Requires `IsDrained()`; nothing may be appended
  /// after.
  void Close();

  SegmentId id() const { return id_; }
  /// Highest epoch under which a replica may have been opened.
  HeadEpoch highest_epoch() const { return open_epoch_; }
  std::uint64_t length() const { return content_.length(); }
  const std::string& content() const { return content_.bytes(); }
  /// Bytes that every member of the committed set has synced. Never falls.
  std::uint64_t durable_length() const { return durable_length_; }
  /// Whether a set with at least `SegmentLogOptions::minimum_replicas` live members has opened the
  /// segment with its initial content.
  bool IsOpen() const;
  /// Whether some set of backups was committed.
  bool IsCommitted() const { return committed_epoch_.valid(); }
  /// Whether the present set is committed and all content is durable.
  bool IsDrained() const;
  bool IsClosing() const { return closing_; }
  /// Whether enough backups have closed their replica: as many as wanted, or the minimum if no
  /// other replica can still be closed.
  bool IsClosed() const;
  /// Whether a set was committed and enough members are live to take new entries.
  bool CanAppend() const;
  /// Whether the committed set has as many live members as wanted.
  bool IsFullyReplicated() const;
  /// @return the number of live members or, after `Close`, of closed replicas.
  std::size_t CountReplicas() const;
  /// @return the locations of the members or, after `Close`, of the closed replicas.
  std::vector<ReplicaLocation> locations() const;

 private:
  struct Replica {
    std::uint64_t number = 0;  ///< Identifies it; late responses for a dropped one are ignored.
    ReplicaLocation location;
    HeadEpoch epoch;           ///< Last one the backup confirmed; invalid until it is opened.
    std::uint64_t synced = 0;  ///< Bytes that the backup confirmed as synced.
    bool member = false;       ///< Of the set of `epoch_`; otherwise a candidate.
    bool hidden = true;        ///< From recoveries, until replace_complete.
    bool busy = false;         ///< A call is under way.
    bool failing = false;      ///< Its last call failed.
    bool refused = false;      ///< The backup refused permanently: no retry.
    bool closed = false;
    TimePoint retry_at;  ///< While `failing`: earliest time of the next call.
  };

  /// The set that the live members and the ready candidates would form.
  struct ProposedReplicaSet {
    std::size_t size = 0;
    bool differs = false;  ///< From the present one.
  };

  void AdvanceOnce();
  void UpdateDurableLength();
  /// Whether the coordinators confirmed the present set.
  bool IsSetCommitted() const;
  bool HasAllReplicas() const;
  /// Whether the last call to its backup failed, or no live backup has its disk.
  bool IsLost(const Replica& replica) const;
  /// Whether every member's replica is under the present epoch and visible to recoveries.
  bool AreMembersUpToDate() const;
  /// Calls `Advance` after the retry delay.
  void ScheduleAdvance();

  // head_segment_replica_set.cc
  /// Adds candidates on further backups, up to the number of replicas wanted.
  void AddCandidates();
  ProposedReplicaSet ProposeReplicaSet() const;
  bool HasUnreadyCandidates() const;
  /// Changes to the proposed set if that differs and is large enough; drops the candidates if the
  /// present set is complete.
  void UpdateReplicaSet();
  /// Makes the live members and the ready candidates the set of the next epoch.
  void ApplyProposedReplicaSet();
  /// Removes the candidates for which `keep` returns false and frees their replicas.
  void DropCandidates(const std::function<bool(const Replica&)>& keep);
  void CommitIfReady();
  /// @return the CommitHead request for the present set: the same bytes for every attempt under one
  /// epoch.
  const proto::CommitHeadRequest& PrepareCommitRequest();
  void HandleCommit(HeadEpoch epoch, const Status& status);
  /// Whether the replica is open and lacks at most `write_bytes` of the content.
  bool IsReady(const Replica& replica) const;

  // head_segment_calls.cc
  /// Starts the next call that `replica` needs, if any.
  void StartNextCall(Replica& replica);
  void OpenReplica(Replica& replica);
  void WriteReplica(Replica& replica);
  void SetReplicaEpoch(Replica& replica);
  void CloseReplica(Replica& replica);

  /// Marks `replica` busy. @return the handler of the response, which runs `on_ok` if the call
  /// succeeded and the replica was not dropped meanwhile.
  BackupClient::Done MakeAnswerHandler(Replica& replica, std::function<void(Replica&)> on_ok);
  void HandleAnswer(std::uint64_t replica_number, const Status& status,
                    const std::function<void(Replica&)>& on_ok);
  void HandleFailure(std::uint64_t replica_number, const Status& status);
  Replica* FindReplica(std::uint64_t replica_number);

  LogContext& context_;
  SegmentId id_;
  SegmentContent content_;
  std::function<void()> on_progress_;
  std::vector<Replica> replicas_;
  std::uint64_t last_replica_number_ = 0;
  HeadEpoch epoch_;            ///< Of the present set; 0 before the first one.
  HeadEpoch open_epoch_{1};    ///< Of candidates and of the next set.
  HeadEpoch committed_epoch_;  ///< Last one the coordinators confirmed.
  proto::CommitHeadRequest commit_request_;
  std::uint64_t durable_length_ = 0;
  bool commit_allowed_ = false;
  bool commit_in_progress_ = false;
  bool closing_ = false;
  RepeatedStep advance_;
  bool retry_scheduled_ = false;
};

}  // namespace cloverbank

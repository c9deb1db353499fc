#pragma once
/// @file
/// One open segment of the log and its set of backups: from the choice of the backups over writes
/// and changes of the set to the close (RAMCloud page, "Segment Durability" and walk-through steps
/// 6-11).
///
/// The set of backups changes under a rising *epoch*. A change goes so: (1) newcomers are opened
/// under a later epoch and get the whole content, hidden from recoveries (atomic_replace); (2) the
/// new set is fixed, the epoch raised, and nothing counts as held any more; (3) newcomers are made
/// complete, the others are told the epoch; (4) the set is committed at the coordinators; (5) what
/// all of its members have synced is held again. So no copy outside the committed set can be
/// offered to a recovery under the committed epoch, and every acknowledged entry is on every copy
/// inside it.
///
/// A member whose call failed is retried (writes may be repeated) until another has taken its place
/// or the set goes on without it; a short silence of all backups thus changes nothing.
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
  /// @param content the framed entries at its start: header, digest, marks.
  /// @param on_progress runs after anything below may have changed.
  HeadSegment(LogContext& context, SegmentId id, std::string content,
              std::function<void()> on_progress);

  /// Goes on with whatever is due: call it after `Append`, on fleet changes and on a timer.
  void Advance();

  /// Appends a framed entry; requires `Fits`.
  void Append(const proto::LogEntry& entry) { content_.Append(entry); }
  bool Fits(std::uint64_t framed_bytes) const { return content_.Fits(framed_bytes); }

  /// Lets the set be committed at the coordinators; a successor waits for this.
  void AllowCommit();
  /// Asks for the close on all backups. Requires `drained()`; nothing may be appended after.
  void Close();

  SegmentId id() const { return id_; }
  /// Highest epoch under which a replica may have been opened.
  HeadEpoch highest_epoch() const { return open_epoch_; }
  std::uint64_t length() const { return content_.length(); }
  const std::string& content() const { return content_.bytes(); }
  /// Bytes that every member of the committed set has synced. Never falls.
  std::uint64_t durable_length() const { return durable_length_; }
  /// Whether a set of backups with at least the minimum of copies has the first content.
  bool opened() const;
  bool committed() const { return committed_epoch_.valid(); }
  /// Whether a set is committed and holds all content.
  bool drained() const;
  bool closing() const { return closing_; }
  /// Whether enough backups have closed it.
  bool closed() const;
  /// Whether enough members answer to take new entries.
  bool healthy() const;
  /// Whether the committed set has as many live members as wanted.
  bool IsFullyReplicated() const;
  std::size_t replicas() const;
  /// The members (open) or the backups that closed it.
  std::vector<ReplicaLocation> locations() const;

 private:
  struct Replica {
    std::uint64_t serial = 0;  ///< Tells late answers for a replica that was dropped.
    ReplicaLocation location;
    HeadEpoch epoch;  ///< Under which it was last known; invalid: not opened.
    std::uint64_t synced = 0;
    bool member = false;   ///< Of the set of `epoch_`; else a newcomer.
    bool hidden = true;    ///< Its copy is hidden until replace_complete.
    bool busy = false;     ///< A call is under way.
    bool failing = false;  ///< Its last call failed.
    bool refused = false;  ///< It refused for good: not retried.
    bool closed = false;
    TimePoint retry_at;
  };

  /// The set of backups that could be had now.
  struct ProposedReplicaSet {
    std::size_t size = 0;
    bool differs = false;  ///< From the present one.
  };

  void AdvanceOnce();
  void UpdateDurableLength();
  /// Whether the coordinators confirmed the present set.
  bool IsSetCommitted() const;
  bool HasAllReplicas() const;
  bool IsLost(const Replica& replica) const;
  /// Whether every member's replica is complete and under the present epoch.
  bool AreMembersUpToDate() const;
  void ScheduleAdvance();

  // head_segment_replica_set.cc
  void AddCandidates();
  ProposedReplicaSet ProposeReplicaSet() const;
  bool HasUnreadyCandidates() const;
  /// Moves to a new set and epoch when one is ready that is better than the present one.
  void EvaluateReplicaSet();
  /// Makes the live members and the newcomers that are ready the set of the next epoch.
  void AdoptReadyReplicas();
  /// Frees the newcomers that are not to be kept.
  void DropCandidates(const std::function<bool(const Replica&)>& keep);
  void CommitIfReady();
  /// @return the commit of the present set; the same one for every try under one epoch.
  const proto::CommitHeadRequest& CommitRequest();
  void HandleCommit(HeadEpoch epoch, const Status& status);
  /// Whether a newcomer has so much of the content that the set can change to it.
  bool IsReady(const Replica& replica) const;

  // head_segment_calls.cc
  /// Makes the next call that `replica` needs, if any.
  void StartNextCall(Replica& replica);
  void OpenReplica(Replica& replica);
  void WriteReplica(Replica& replica);
  void SetReplicaEpoch(Replica& replica);
  void CloseReplica(Replica& replica);

  /// Wraps the answer to a call on `replica`; `on_ok` runs if the replica is still wanted.
  BackupClient::Done MakeAnswerHandler(Replica& replica, std::function<void(Replica&)> on_ok);
  void HandleAnswer(std::uint64_t serial, const Status& status,
                    const std::function<void(Replica&)>& on_ok);
  void HandleFailure(std::uint64_t serial, const Status& status);
  Replica* FindReplica(std::uint64_t serial);

  LogContext& context_;
  SegmentId id_;
  SegmentContent content_;
  std::function<void()> on_progress_;
  std::vector<Replica> replicas_;
  std::uint64_t last_serial_ = 0;
  HeadEpoch epoch_;            ///< Of the present set; 0 before the first.
  HeadEpoch open_epoch_{1};    ///< For newcomers, and of the next set.
  HeadEpoch committed_epoch_;  ///< Last one the coordinators confirmed.
  proto::CommitHeadRequest commit_request_;
  std::uint64_t durable_length_ = 0;
  bool commit_allowed_ = false;
  bool commit_under_way_ = false;
  bool closing_ = false;
  RepeatedStep advance_;
  bool retry_scheduled_ = false;
};

}  // namespace cloverbank

#pragma once
/// @file
/// The durable log of one incarnation of a queue node: a chain of segments, each replicated on
/// several backups (RAMCloud page, BackupManager; docs/DESIGN.md section 5). Entries are
/// acknowledged in the order of `Append`, once every backup of the committed set has synced them
/// and while the node's lease is valid.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "log_writer/append_queue.h"
#include "log_writer/head_segment.h"
#include "log_writer/log_context.h"
#include "log_writer/repeated_step.h"
#include "log_writer/segment_audit.h"
#include "log_writer/segment_repairer.h"
#include "log_writer/segment_usage.h"
#include "proto/log.pb.h"

namespace cloverbank {

class SegmentLog {
 public:
  using Done = AppendQueue::Done;
  /// Returns the entries that follow the header and digest of a new segment; they have no sequence
  /// (PartitionWatermark).
  using Preamble = std::function<std::vector<proto::LogEntry>()>;

  /// Creates the log of the agent's present node id, which has no segment until `Start`.
  /// @param on_fenced runs once, after `Stop`, when a backup or coordinator refuses the node id as
  /// dead; `reason` is for logs.
  SegmentLog(Environment& environment, NodeAgent& agent, SegmentLogOptions options,
             Preamble preamble, std::function<void(const std::string& reason)> on_fenced);
  ~SegmentLog();
  SegmentLog(const SegmentLog&) = delete;
  SegmentLog& operator=(const SegmentLog&) = delete;

  /// Opens the first segment (RAMCloud page, "Normal Operation Walkthrough" step 4).
  void Start();

  /// Appends the entries in order, with no other entry between them. `done` runs once, on the event
  /// loop and after this call has returned, with:
  /// - OK: every backup of the committed set has synced them, and the lease was valid when `done`
  ///   ran;
  /// - kUnavailable, kResourceExhausted, kInvalidArgument: not written;
  /// - kUnknownOutcome: the log ended first; the entries may or may not survive.
  void Append(std::vector<proto::LogEntry> entries, Done done);

  /// @return OK, or the error with which `Append` would refuse an append now.
  Status Accepting() const;

  /// Ends the log: pending appends complete with kUnknownOutcome, after this call has returned, and
  /// the log makes no further calls.
  void Stop();

  /// Adapts the replicas to a changed fleet view. Call it on each change.
  void OnFleet();

  /// Whether the coordinators have committed the first head.
  bool ready() const { return head_ != nullptr && head_->IsCommitted(); }
  /// Whether some segment has fewer live replicas than `SegmentLogOptions::replicas`.
  bool degraded() const;
  /// @return the number of segments that are not freed, the head included.
  std::size_t live_segments() const;
  /// @return the largest framed size that one entry may have, in bytes.
  std::uint64_t largest_entry() const { return context_.options.segment_bytes / 4; }

 private:
  void Advance();
  void AdvanceOnce();
  void PlaceWaitingAppends();
  /// Adds the remaining entries of `append` to the head. @return false if the head is full before
  /// all of them are added.
  bool PlaceEntries(AppendQueue::WaitingAppend& append);
  void AcknowledgeDurableAppends();
  void RefuseOverdueAppends();
  void HandleFenced(FencedBy source, const std::string& detail);
  void CompleteLater(Done done, Status status);
  void Tick();

  // segment_log_roll_over.cc
  void AdvanceRollOver();
  bool ShouldOpenSuccessor() const;
  bool ShouldRollOverEarly() const;
  void OpenSuccessor();
  void PromoteSuccessor();
  /// Adds the closed head to the segments that the repairer maintains.
  void AddHeadToRepairer();
  /// Frees the segments that the committed digest of the new head leaves out.
  void FreeDeadSegments();
  /// @return the framed entries at the start of a segment: header, digest, preamble.
  std::string BuildSegmentStart(SegmentId segment, const std::vector<SegmentId>& digest);

  LogContext context_;
  Preamble preamble_;
  std::function<void(const std::string&)> on_fenced_;
  std::shared_ptr<HeadSegment> head_;
  std::shared_ptr<HeadSegment> successor_;
  std::shared_ptr<SegmentRepairer> repairer_;
  std::shared_ptr<SegmentAudit> audit_;
  SegmentUsage usage_;
  /// Segments left out of the successor's digest; freed once the successor is committed.
  std::vector<SegmentId> dead_segments_;
  AppendQueue appends_;
  bool rolling_over_ = false;     ///< The head takes no more entries.
  bool early_roll_over_ = false;  ///< Roll over as soon as the successor is open.
  TimePoint last_roll_over_;
  RepeatedStep advance_;
  TimerId timer_ = 0;
};

}  // namespace cloverbank

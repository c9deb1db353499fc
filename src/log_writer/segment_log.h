#pragma once
/// @file
/// The durable log of one life of a queue node: a chain of segments, each on several backups
/// (RAMCloud's BackupManager; DESIGN.md section 5). Entries are acknowledged in the order of
/// `Append`, once every backup of the committed set has synced them and while the node's lease
/// holds.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "log_writer/head_segment.h"
#include "log_writer/log_context.h"
#include "log_writer/segment_repairer.h"
#include "log_writer/segment_usage.h"
#include "proto/log.pb.h"

namespace cloverbank {

class SegmentLog {
 public:
  using Done = std::function<void(Status)>;
  /// Entries without sequence to be written at the start of a new segment (PartitionWatermark).
  using Preamble = std::function<std::vector<proto::LogEntry>()>;

  /// Begins the log of the agent's present node id, with no segment yet.
  /// @param on_fenced runs once when a backup or coordinator refuses the node id as dead; `Stop`
  /// has been called then.
  SegmentLog(Environment& environment, NodeAgent& agent, SegmentLogOptions options,
             Preamble preamble, std::function<void(const std::string& reason)> on_fenced);
  ~SegmentLog();
  SegmentLog(const SegmentLog&) = delete;
  SegmentLog& operator=(const SegmentLog&) = delete;

  /// Opens the first segment.
  void Start();

  /// Appends the entries, kept in order and together with nothing in between. `done` runs later,
  /// once: OK: held by every backup of the committed set, and the lease was valid at that moment.
  /// kUnavailable, kResourceExhausted, kInvalidArgument: certainly not written.
  /// kUnknownOutcome: this life ended first; the entries may or may not survive.
  void Append(std::vector<proto::LogEntry> entries, Done done);

  /// @return OK, or why `Append` would refuse now.
  Status Accepting() const;

  /// Ends this life: every waiting append ends as kUnknownOutcome (later), nothing is done any
  /// more.
  void Stop();

  /// To be called when the fleet view changed.
  void OnFleet();

  /// Whether the first head is committed.
  bool ready() const { return head_ != nullptr && head_->committed(); }
  /// Whether something has fewer copies than wanted.
  bool degraded() const;
  std::size_t live_segments() const;
  /// @return a bound on the framed size of one entry.
  std::uint64_t largest_entry() const { return context_.options.segment_bytes / 4; }

 private:
  struct WaitingAppend {
    std::vector<proto::LogEntry> entries;
    std::size_t next = 0;  ///< First entry that is not in a segment yet.
    std::uint64_t bytes = 0;
    TimePoint since;
    Done done;
  };
  struct PositionedAppend {
    SegmentId segment;
    std::uint64_t end = 0;
    Done done;
  };

  void Advance();
  void AdvanceOnce();
  void Place();
  bool AppendNext(WaitingAppend& waiting);
  void RefuseOverdue();
  void Roll();
  void OpenSuccessor();
  void AdoptSuccessor();
  void Acknowledge();
  bool IsDurable(const PositionedAppend& placed) const;
  bool ShouldRollEarly() const;
  std::string FirstContent(SegmentId segment, const std::vector<SegmentId>& digest);
  void Fence(const std::string& reason);
  void Later(Done done, Status status);
  void Tick();

  LogContext context_;
  Preamble preamble_;
  std::function<void(const std::string&)> on_fenced_;
  std::shared_ptr<HeadSegment> head_;
  std::shared_ptr<HeadSegment> successor_;
  std::shared_ptr<SegmentRepairer> repairer_;
  SegmentUsage usage_;
  std::vector<SegmentId> freed_by_successor_;  ///< Left out of its digest.
  std::deque<WaitingAppend> waiting_;
  std::deque<PositionedAppend> placed_;
  std::uint64_t waiting_bytes_ = 0;
  bool rolling_ = false;     ///< Nothing more goes into the head.
  bool early_roll_ = false;  ///< The head should move once its successor is open.
  TimePoint rolled_at_;
  bool pumping_ = false;
  bool pump_again_ = false;
  TimerId timer_ = 0;
};

}  // namespace cloverbank

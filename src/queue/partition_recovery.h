#pragma once
/// @file
/// Recovers some partitions of one dead queue node at this node (RAMCloud page, recovery steps 5
/// and 6): reads their entries from the backups, appends them to this node's log, and reports to
/// the coordinators when all are durable. Clients see none of it until the coordinators commit this
/// node as the partitions' owner.
///
/// A failed read, append or report is retried until it succeeds, the coordinators refuse the
/// report, or the incarnation ends.
///
/// Threads: the owner's event loop only; callbacks run there too. Create it with
/// `std::make_shared`.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "batches/batch_store.h"
#include "control_client/node_agent.h"
#include "log_writer/segment_log.h"
#include "proto/log.pb.h"
#include "queue/read_limit.h"

namespace cloverbank {

class PartitionRecovery : public std::enable_shared_from_this<PartitionRecovery> {
 public:
  /// @param read_limit the limit of parallel segment reads, shared by all recoveries of this node.
  /// @param partitions the partitions of `request` to recover.
  /// @param on_fenced runs with a reason for logs when the coordinators reject this node id as
  /// dead.
  PartitionRecovery(Environment& environment, NodeAgent& agent, SegmentLog& log,
                    std::shared_ptr<ReadLimit> read_limit, proto::RecoverPartitionsRequest request,
                    const std::vector<PartitionId>& partitions,
                    std::function<void(const std::string&)> on_fenced);

  void Start();
  /// Takes over the lists of backups of a repeated request, which may have changed. Sends the
  /// report again if all partitions are durable.
  void HandleRepeatedRequest(const proto::RecoverPartitionsRequest& request);

  NodeId dead_node() const { return NodeId(request_.dead_node_id()); }
  bool Includes(PartitionId partition) const { return recovering_.contains(partition); }
  /// Abandons the recovery of a partition that is recovered from another log now, or has another
  /// owner.
  void Drop(PartitionId partition);
  /// Hands over the batches of a recovered partition and removes it from this recovery.
  /// @return nullptr if the partition's entries are not all durable yet, or if it is not part of
  /// this recovery.
  std::unique_ptr<BatchStore> TakeStore(PartitionId partition);
  /// Whether every partition was taken (`TakeStore`) or dropped.
  bool IsFinished() const { return recovering_.empty(); }
  /// @return watermarks of the partitions whose entries are durable.
  std::vector<proto::LogEntry> Watermarks() const;

 private:
  /// The state of one partition's recovery.
  struct RecoveringPartition {
    std::vector<proto::LogEntry> entries;  ///< To append to this node's log, by sequence.
    std::size_t logged = 0;                ///< How many of `entries` were appended.
    PartitionSequence next_sequence;       ///< Of the first entry that the new owner adds.
    std::unique_ptr<BatchStore> store;
    bool durable = false;  ///< Whether all entries are durable again and applied to `store`.
  };
  /// The state of reading one segment of the dead node's log.
  struct SegmentRead {
    std::size_t failed_attempts = 0;  ///< Selects the backup to read from next.
    bool in_progress = false;
    bool done = false;
    std::vector<proto::LogEntry> entries;
  };

  /// Starts the reads that are still to be done; once all segments are read, goes on to log them.
  void ReadRemaining();
  void ReadSegment(std::size_t segment_index);
  proto::GetRecoveryDataRequest MakeReadRequest(const proto::RecoverySegment& segment) const;
  /// @return whether a read may start now; if not, `ReadRemaining` runs after another read has
  /// ended.
  bool AcquireReadSlot();
  void HandleSegmentRead(std::size_t segment_index, Result<proto::GetRecoveryDataResponse> result);
  /// Distributes the entries of all segments to their partitions, in replay order.
  void SortEntries();
  /// Appends the next chunk, one at a time; once all partitions are durable, reports.
  void LogRemaining();
  /// @return the next entries of the partition. The first chunk starts with a watermark that voids
  /// earlier entries of the partition in this log, the last one ends with one of the next sequence.
  std::vector<proto::LogEntry> MakeNextChunk(PartitionId partition,
                                             RecoveringPartition& recovering) const;
  void LogChunk(PartitionId partition, RecoveringPartition& recovering);
  /// @param logged_before how many of the partition's entries were logged before this chunk.
  void HandleLogged(PartitionId partition, std::size_t logged_before,
                    const std::shared_ptr<std::vector<proto::LogEntry>>& chunk,
                    const Status& status);
  /// Applies a durable chunk to the partition's store.
  void ApplyChunk(RecoveringPartition& recovering, std::vector<proto::LogEntry>& chunk);
  /// Reports all remaining partitions to the coordinators as recovered.
  void ReportRecovered();
  void HandleReportAnswer(const Status& status);
  void RetryLater(void (PartitionRecovery::*step)());

  Environment& environment_;
  NodeAgent& agent_;
  SegmentLog& log_;
  std::shared_ptr<ReadLimit> read_limit_;
  proto::RecoverPartitionsRequest request_;
  std::function<void(const std::string&)> on_fenced_;
  std::map<PartitionId, RecoveringPartition> recovering_;
  std::vector<SegmentRead> segment_reads_;  ///< One for each segment of the request, same order.
  bool waiting_for_read_slot_ = false;      ///< `read_limit_` will call back.
  bool entries_sorted_ = false;             ///< `SortEntries` has run.
  bool logging_ = false;                    ///< An append has not completed yet.
  bool reporting_ = false;                  ///< A report has not been answered yet.
  bool reported_ = false;                   ///< The coordinators accepted or refused the report.
};

}  // namespace cloverbank

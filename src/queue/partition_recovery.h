#pragma once
/// @file
/// Recovery of some partitions of one dead queue node at this one (RAMCloud page, recovery steps 5
/// and 6): reads their entries from the backups, logs them again, and reports to the coordinators
/// when they are durable. None of it is visible until the coordinators commit this node as the
/// partitions' owner.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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
  /// @param read_limit shared by all recoveries of this node.
  /// @param partitions of `request` to recover.
  /// @param on_fenced runs when the coordinators reject this node id as dead.
  PartitionRecovery(Environment& environment, NodeAgent& agent, SegmentLog& log,
                    std::shared_ptr<ReadLimit> read_limit, proto::RecoverPartitionsRequest request,
                    const std::vector<PartitionId>& partitions,
                    std::function<void(const std::string&)> on_fenced);

  void Start();
  /// Handles a repeated request: the list of backups may have changed, and the report is sent
  /// again.
  void HandleRepeatedRequest(const proto::RecoverPartitionsRequest& request);

  NodeId dead_node() const { return NodeId(request_.dead_node_id()); }
  bool Includes(PartitionId partition) const { return recovering_.contains(partition); }
  /// Abandons the partition: it is recovered from another log now, or has another owner.
  void Drop(PartitionId partition);
  /// @return the partition's batches once its entries are durable, else nullptr. The partition is
  /// no longer part of this recovery then.
  std::unique_ptr<BatchStore> TakeStore(PartitionId partition);
  /// Whether no partition remains to be recovered or taken.
  bool IsFinished() const { return recovering_.empty(); }
  /// @return watermarks of the partitions whose entries are durable.
  std::vector<proto::LogEntry> Watermarks() const;

 private:
  /// Replay of one partition.
  struct RecoveringPartition {
    std::vector<proto::LogEntry> entries;
    std::size_t logged = 0;
    PartitionSequence next_sequence;
    std::unique_ptr<BatchStore> store;
    bool durable = false;  ///< All entries are logged again and applied to `store`.
  };
  struct SegmentRead {
    std::size_t failed_attempts = 0;
    bool in_progress = false;
    bool done = false;
    std::vector<proto::LogEntry> entries;
  };

  void ReadRemaining();
  void ReadSegment(std::size_t segment_index);
  proto::GetRecoveryDataRequest MakeReadRequest(const proto::RecoverySegment& segment) const;
  /// @return whether a read may start now; if not, `ReadRemaining` runs when one has ended.
  bool AcquireReadSlot();
  void HandleSegmentRead(std::size_t segment_index, Result<proto::GetRecoveryDataResponse> result);
  void SortEntries();
  void LogRemaining();
  std::vector<proto::LogEntry> MakeNextChunk(PartitionId partition,
                                             RecoveringPartition& recovering) const;
  void LogChunk(PartitionId partition, RecoveringPartition& recovering);
  /// @param logged_before how much of the partition was logged without this chunk.
  void HandleLogged(PartitionId partition, std::size_t logged_before,
                    const std::shared_ptr<std::vector<proto::LogEntry>>& chunk,
                    const Status& status);
  void ApplyChunk(RecoveringPartition& recovering, std::vector<proto::LogEntry>& chunk);
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
  std::vector<SegmentRead> segment_reads_;  ///< One for each segment of the request.
  bool waiting_for_read_slot_ = false;      ///< `read_limit_` will call back.
  bool entries_sorted_ = false;
  bool logging_ = false;
  bool reporting_ = false;
  bool reported_ = false;
};

}  // namespace cloverbank

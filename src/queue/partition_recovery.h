#pragma once
/// @file
/// Recovery of some partitions of one dead queue node by this one (RAMCloud page, recovery steps 5
/// and 6): read_limit their entries from the backups, logs them anew, and when they are held
/// reports to the coordinators. Until the coordinators commit this node as the owner, nothing of it
/// counts.
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
  /// @param partitions of `request` that this recovery takes on.
  PartitionRecovery(Environment& environment, NodeAgent& agent, SegmentLog& log,
                    std::shared_ptr<ReadLimit> read_limit, proto::RecoverPartitionsRequest request,
                    const std::vector<PartitionId>& partitions,
                    std::function<void(const std::string&)> on_fenced);

  void Start();
  /// The coordinators asked again: their list of backups may be newer.
  void UpdateSources(const proto::RecoverPartitionsRequest& request);

  NodeId dead_node() const { return NodeId(request_.dead_node_id()); }
  bool Covers(PartitionId partition) const { return recovering_.contains(partition); }
  /// Gives the partition up (it is recovered from another log now).
  void Drop(PartitionId partition);
  /// @return the partition's batches once its entries are held, else nullptr. Taking ends its part.
  std::unique_ptr<BatchStore> TakeStore(PartitionId partition);
  /// Whether no partition is left to it.
  bool IsFinished() const { return recovering_.empty(); }
  /// @return marks of the partitions whose entries are held.
  std::vector<proto::LogEntry> Watermarks() const;

 private:
  /// Replay of one partition.
  struct RecoveringPartition {
    std::vector<proto::LogEntry> entries;
    std::size_t logged = 0;
    PartitionSequence next_sequence;
    std::unique_ptr<BatchStore> store;
    bool durable = false;
  };
  struct Source {
    std::size_t attempts = 0;
    bool reading = false;
    bool read = false;
    std::vector<proto::LogEntry> entries;
  };

  void ReadRemaining();
  void ReadSegment(std::size_t position);
  proto::GetRecoveryDataRequest MakeReadRequest(const proto::RecoverySegment& segment) const;
  /// @return whether a read may begin now; if not, `ReadRemaining` runs again later.
  bool AcquireReadSlot();
  void HandleSegmentRead(std::size_t position, Result<proto::GetRecoveryDataResponse> result);
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
  std::vector<Source> sources_;       ///< One a segment of the request.
  bool waits_for_read_slot_ = false;  ///< `read_limit_` calls back.
  bool sorted_ = false;
  bool logging_ = false;
  bool reporting_ = false;
  bool reported_ = false;
};

}  // namespace cloverbank

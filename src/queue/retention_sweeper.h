#pragma once
/// @file
/// Removes batches once they have been finished for the configured retention time, by logging their
/// removal.
///
/// Threads: the owner's event loop only.

#include "base/time.h"
#include "control_client/node_agent.h"
#include "log_writer/segment_log.h"
#include "queue/partition_ownership.h"
#include "runtime/environment.h"

namespace cloverbank {

struct RetentionOptions {
  Duration sweep_interval{};
  Duration default_retention{};  ///< Used if the configuration sets none.
};

class RetentionSweeper {
 public:
  RetentionSweeper(Environment& environment, NodeAgent& agent, const SegmentLog& log,
                   const PartitionOwnership& ownership, RetentionOptions options);

  /// Removes old batches if `sweep_interval` has passed since the last sweep and the log accepts
  /// entries. Call it at each tick.
  void SweepIfDue();

 private:
  /// @return wall-clock time in milliseconds since the epoch. Batches that had finished by then are
  /// removed.
  std::int64_t ComputeCutoffMs() const;
  static void RemoveFinished(OwnedPartition& partition, std::int64_t cutoff_ms);

  Environment& environment_;
  NodeAgent& agent_;
  const SegmentLog& log_;
  const PartitionOwnership& ownership_;
  RetentionOptions options_;
  TimePoint last_sweep_at_;
};

}  // namespace cloverbank

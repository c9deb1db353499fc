#pragma once
/// @file
/// Removes finished batches after the configured retention time, by logging their removal.
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
  Duration default_retention{};  ///< Where the configuration names none.
};

class RetentionSweeper {
 public:
  RetentionSweeper(Environment& environment, NodeAgent& agent, const SegmentLog& log,
                   const PartitionOwnership& ownership, RetentionOptions options);

  /// Sweeps if the interval has passed and the log accepts entries. Call it at each tick.
  void SweepIfDue();

 private:
  /// @return wall time in milliseconds since the epoch; batches that finished by then are removed.
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

#pragma once
/// @file
/// Sets how much of a replica's free capacity this gateway may use until the replica's next load
/// report: for batch work, and for live calls while the replica is in slow start.
/// `AdaptiveCapacityRatio` increases and decreases the fraction that is used. Pure except for the
/// clock, the random source and the metrics of the environment.

#include "calls/gateway_options.h"
#include "replicas/adaptive_capacity_ratio.h"
#include "replicas/replica_health.h"
#include "replicas/replica_load.h"
#include "routing/router.h"
#include "runtime/environment.h"

namespace cloverbank {

class CapacityAllowances {
 public:
  /// All references must outlive this object.
  CapacityAllowances(Environment& environment, const Router& router, const ReplicaHealth& health,
                     const SharingOptions& options);

  /// `replica` reported its load: sets in `load` how many calls may start there until the next
  /// report.
  void OnLoadReport(const ReplicaRecord& replica, const proto::RoutingConfiguration& configuration,
                    ReplicaLoad& load);
  /// A replica refused batch work for lack of capacity.
  void OnBatchRefused() { batch_ratio_.OnOverload(environment_.Now()); }
  void PublishMetrics();

 private:
  void UpdateBatchAllowance(const ReplicaRecord& replica,
                            const proto::RoutingConfiguration& configuration, ReplicaLoad& load,
                            TimePoint now);
  void UpdateSlowStartAllowance(const ReplicaRecord& replica, ReplicaLoad& load, TimePoint now);

  Environment& environment_;
  const Router& router_;
  const ReplicaHealth& health_;
  AdaptiveCapacityRatio slow_start_ratio_;
  AdaptiveCapacityRatio batch_ratio_;
};

}  // namespace cloverbank

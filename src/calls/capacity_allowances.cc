#include "calls/capacity_allowances.h"

#include <algorithm>

namespace cloverbank {

CapacityAllowances::CapacityAllowances(Environment& environment, const Router& router,
                                       const ReplicaHealth& health, const SharingOptions& options)
    : environment_(environment),
      router_(router),
      health_(health),
      slow_start_ratio_(options.initial_slow_start_quota, options.slow_start_quota_growth),
      batch_ratio_(options.initial_batch_quota, options.batch_quota_growth) {}

void CapacityAllowances::OnLoadReport(const ReplicaRecord& replica,
                                      const proto::RoutingConfiguration& configuration,
                                      ReplicaLoad& load) {
  const TimePoint now = environment_.Now();
  UpdateBatchAllowance(replica, configuration, load, now);
  if (health_.IsInSlowStart(replica.id, now)) {
    UpdateSlowStartAllowance(replica, load, now);
  }
}

void CapacityAllowances::UpdateBatchAllowance(const ReplicaRecord& replica,
                                              const proto::RoutingConfiguration& configuration,
                                              ReplicaLoad& load, TimePoint now) {
  const Router::BatchCapacityLimit capacity =
      router_.BatchCapacityLimitFor(replica, configuration, now);
  if (load.own_batch() > 0 && load.total() > capacity.bound) {
    batch_ratio_.OnOverload(now);
  } else if (load.own_batch() > 0) {
    batch_ratio_.OnReportWithinBound();
  }
  load.SetBatchAllowance(batch_ratio_.Allowance(capacity.free, environment_.Random()), now);
}

void CapacityAllowances::UpdateSlowStartAllowance(const ReplicaRecord& replica, ReplicaLoad& load,
                                                  TimePoint now) {
  const std::uint32_t limit = health_.GetLimit(replica.id, load.Capacity(replica.capacity), now);
  if (load.own() > 0 && load.total() > limit) {
    slow_start_ratio_.OnOverload(now);
  } else if (load.own() > 0) {
    slow_start_ratio_.OnReportWithinBound();
  }
  const std::uint32_t free = limit - std::min(limit, load.total());
  load.SetSlowStartAllowance(slow_start_ratio_.Allowance(free, environment_.Random()), now);
}

void CapacityAllowances::PublishMetrics() {
  environment_.metrics().SetGauge("gateway_batch_quota_ratio", batch_ratio_.ratio());
  environment_.metrics().SetGauge("gateway_slow_start_quota_ratio", slow_start_ratio_.ratio());
}

}  // namespace cloverbank

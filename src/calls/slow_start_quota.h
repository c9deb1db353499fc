#pragma once
/// @file
/// The rate of calls that this gateway may send to replicas that are warming up: its part
/// (`GatewayQuota`) of the calls a second that such a replica may get from all gateways together.
/// Pure, except that it reads the current configuration.

#include "calls/serving_permission.h"
#include "replicas/replica_directory.h"
#include "replicas/slow_start.h"
#include "routing/router.h"

namespace cloverbank {

class SlowStartQuota {
 public:
  /// All references must outlive this object.
  SlowStartQuota(const ServingPermission& permission, const ReplicaDirectory& directory,
                 GatewayQuota quota)
      : permission_(permission), directory_(directory), quota_(std::move(quota)) {}

  /// Sets this gateway's part of the rates. @return false if it is the same as before.
  bool SetQuota(const GatewayQuota& quota, TimePoint now);
  /// The configuration changed, and possibly the rates.
  void OnConfiguration(TimePoint now) { UpdateRates(Duration::zero(), now); }
  /// The list of replicas changed, and possibly the set of those that are warming up.
  void OnList(TimePoint now);

  SlowStart& slow_start() { return slow_start_; }

 private:
  /// @param delay time before the first call to a replica for which this gateway had no rate
  /// before.
  void UpdateRates(Duration delay, TimePoint now);
  /// @return how many calls a second this gateway may send to a replica that is warming up;
  /// infinity if the back end sets no limit.
  double RateFor(const ReplicaRecord& record) const;

  const ServingPermission& permission_;
  const ReplicaDirectory& directory_;
  GatewayQuota quota_;
  SlowStart slow_start_;
};

}  // namespace cloverbank

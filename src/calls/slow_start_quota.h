#pragma once
/// @file
/// This gateway's rate of calls to replicas that warm up: its part (`GatewayQuota`) of the calls a
/// second that such a replica may get from all gateways together. Pure but for the configuration it
/// reads.

#include "calls/serving_permission.h"
#include "replicas/replica_directory.h"
#include "replicas/slow_start.h"
#include "routing/router.h"

namespace cloverbank {

class SlowStartQuota {
 public:
  /// All references outlive it.
  SlowStartQuota(const ServingPermission& permission, const ReplicaDirectory& directory,
                 GatewayQuota quota)
      : permission_(permission), directory_(directory), quota_(std::move(quota)) {}

  /// This gateway's part of the rates changed. @return false if it is the same as before.
  bool SetQuota(const GatewayQuota& quota, TimePoint now);
  /// The configuration changed, and the rates with it.
  void OnConfiguration(TimePoint now) { UpdateRates(Duration::zero(), now); }
  /// The list of replicas changed, and who warms up with it.
  void OnList(TimePoint now);

  SlowStart& slow_start() { return slow_start_; }

 private:
  /// @param delay before calls begin where there were none before.
  void UpdateRates(Duration delay, TimePoint now);
  /// @return how many calls a second this gateway may send to a replica that warms up.
  double RateFor(const ReplicaRecord& record) const;

  const ServingPermission& permission_;
  const ReplicaDirectory& directory_;
  GatewayQuota quota_;
  SlowStart slow_start_;
};

}  // namespace cloverbank

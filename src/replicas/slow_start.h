#pragma once
/// @file
/// Limits the rate of calls to replicas that are warming up. Such a replica accepts a number of
/// calls per second from the whole fleet. Each gateway stays within its quota of that rate
/// (`GatewayQuota`), so the sum stays within the rate whichever gateways fail or join, as long as
/// the number of gateways is not underestimated. Pure.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

class SlowStart {
 public:
  /// The replica accepts `calls_per_second` from this gateway until `until`; 0: none. Also drops
  /// the replicas that have warmed up by `now`.
  void SetWarmingUp(const std::string& id, double calls_per_second, TimePoint until, TimePoint now);
  /// Changes the rates of all replicas that are warming up. If this gateway had no quota of a
  /// replica and gets one, its calls start after `delay`, when the gateways whose quota it takes
  /// over have stopped. @param rate_of the new rate of a replica, in calls per second.
  void ChangeRates(const std::function<double(const std::string& id)>& rate_of, Duration delay,
                   TimePoint now);
  void Remove(const std::string& id);

  /// Whether a call may start at the replica now; always true for a replica that is not warming up.
  bool CanStart(std::string_view id, TimePoint now) const;
  /// A call starts; the next one may start after the time between two calls at the replica's rate.
  void OnStart(const std::string& id, TimePoint now);
  /// Whether any replica is warming up now.
  bool AnyWarmingUp(TimePoint now) const;
  bool IsWarmingUp(std::string_view id, TimePoint now) const;

 private:
  struct WarmUp {
    double calls_per_second = 0;
    TimePoint until{};
    TimePoint next_start{};  ///< Calls are spaced evenly; none may start before this.
  };

  std::map<std::string, WarmUp, std::less<>> warm_ups_;
};

}  // namespace cloverbank

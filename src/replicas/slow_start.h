#pragma once
/// @file
/// Limits the calls to replicas that are warming up. Such a replica accepts a number of calls a
/// second from the whole fleet; each gateway keeps to its quota of that rate (`GatewayQuota`), so
/// the sum stays within it whichever gateways fail or join, as long as the count of gateways is not
/// underestimated. Pure.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

class SlowStart {
 public:
  /// The replica accepts `calls_per_second` from this gateway until `until`.
  void SetWarmingUp(const std::string& id, double calls_per_second, TimePoint until, TimePoint now);
  /// Changes the rates of all replicas that are warming up. Where this gateway had no quota it
  /// starts after `delay`, when the gateways whose quota it takes over have stopped.
  void ChangeRates(const std::function<double(const std::string& id)>& rate_of, Duration delay,
                   TimePoint now);
  void Remove(const std::string& id);

  /// Whether a call may start at the replica now.
  bool CanStart(std::string_view id, TimePoint now) const;
  /// A call starts and uses up its part of the rate.
  void OnStart(const std::string& id, TimePoint now);
  /// Whether any replica is warming up now.
  bool AnyWarmingUp(TimePoint now) const;
  bool IsWarmingUp(std::string_view id, TimePoint now) const;

 private:
  struct WarmUp {
    double calls_per_second = 0;
    TimePoint until{};
    TimePoint next_start{};  ///< Calls are spaced evenly; none starts before.
  };

  std::map<std::string, WarmUp, std::less<>> warm_ups_;
};

}  // namespace cloverbank

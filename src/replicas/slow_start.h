#pragma once
/// @file
/// Holds back what goes to cold replicas. A cold replica bears a number of calls a second from the
/// whole fleet; each gateway takes its share of it (`GatewayQuota`), so the sum is safe whichever
/// gateways die or join, as long as the count of gateways is not below the truth. Pure.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

class SlowStart {
 public:
  /// The replica bears `calls_per_second` of this gateway's until `until`.
  void SetWarmingUp(const std::string& id, double calls_per_second, TimePoint until, TimePoint now);
  /// Changes the rates of all that are cold. Where this gateway had none it begins after `delay`,
  /// so that those whose share it takes over have stopped.
  void ChangeRates(const std::function<double(const std::string& id)>& rate_of, Duration delay,
                   TimePoint now);
  void Remove(const std::string& id);

  /// Whether a call may start at the replica now.
  bool CanStart(std::string_view id, TimePoint now) const;
  /// A call starts: takes its part of the rate.
  void OnStart(const std::string& id, TimePoint now);
  /// Whether any replica is cold now.
  bool AnyWarmingUp(TimePoint now) const;
  bool IsWarmingUp(std::string_view id, TimePoint now) const;

 private:
  struct Window {
    double calls_per_second = 0;
    TimePoint until{};
    TimePoint next_start{};  ///< Calls are spaced evenly: none before.
  };

  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace cloverbank

#include "replicas/slow_start.h"

#include <algorithm>

namespace cloverbank {

void SlowStart::SetWarmingUp(const std::string& id, double calls_per_second, TimePoint until,
                             TimePoint now) {
  WarmUp& warm_up = warm_ups_[id];
  warm_up.calls_per_second = calls_per_second;
  warm_up.until = until;
  std::erase_if(warm_ups_, [now](const auto& entry) { return entry.second.until <= now; });
}

void SlowStart::ChangeRates(const std::function<double(const std::string& id)>& rate_of,
                            Duration delay, TimePoint now) {
  for (auto& [id, warm_up] : warm_ups_) {
    const double rate = rate_of(id);
    if (warm_up.calls_per_second <= 0 && rate > 0) {
      warm_up.next_start = std::max(warm_up.next_start, now + delay);
    }
    warm_up.calls_per_second = rate;
  }
}

void SlowStart::Remove(const std::string& id) { warm_ups_.erase(id); }

bool SlowStart::IsWarmingUp(std::string_view id, TimePoint now) const {
  const auto found = warm_ups_.find(id);
  return found != warm_ups_.end() && now < found->second.until;
}

bool SlowStart::CanStart(std::string_view id, TimePoint now) const {
  if (!IsWarmingUp(id, now)) {
    return true;
  }
  const WarmUp& warm_up = warm_ups_.find(id)->second;
  return warm_up.calls_per_second > 0 && now >= warm_up.next_start;
}

void SlowStart::OnStart(const std::string& id, TimePoint now) {
  const auto found = warm_ups_.find(id);
  if (found == warm_ups_.end() || found->second.calls_per_second <= 0) {
    return;
  }
  WarmUp& warm_up = found->second;
  const std::chrono::duration<double> gap(1.0 / warm_up.calls_per_second);
  warm_up.next_start =
      std::max(now, warm_up.next_start) + std::chrono::duration_cast<Duration>(gap);
}

bool SlowStart::AnyWarmingUp(TimePoint now) const {
  return std::any_of(warm_ups_.begin(), warm_ups_.end(),
                     [now](const auto& entry) { return now < entry.second.until; });
}

}  // namespace cloverbank

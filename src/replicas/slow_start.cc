#include "replicas/slow_start.h"

#include <algorithm>

namespace cloverbank {

void SlowStart::SetWarmingUp(const std::string& id, double calls_per_second, TimePoint until,
                             TimePoint now) {
  Window& window = windows_[id];
  window.calls_per_second = calls_per_second;
  window.until = until;
  std::erase_if(windows_, [now](const auto& entry) { return entry.second.until <= now; });
}

void SlowStart::ChangeRates(const std::function<double(const std::string& id)>& rate_of,
                            Duration delay, TimePoint now) {
  for (auto& [id, window] : windows_) {
    const double rate = rate_of(id);
    if (window.calls_per_second <= 0 && rate > 0) {
      window.next_start = std::max(window.next_start, now + delay);
    }
    window.calls_per_second = rate;
  }
}

void SlowStart::Remove(const std::string& id) { windows_.erase(id); }

bool SlowStart::IsWarmingUp(std::string_view id, TimePoint now) const {
  const auto found = windows_.find(id);
  return found != windows_.end() && now < found->second.until;
}

bool SlowStart::CanStart(std::string_view id, TimePoint now) const {
  if (!IsWarmingUp(id, now)) {
    return true;
  }
  const Window& window = windows_.find(id)->second;
  return window.calls_per_second > 0 && now >= window.next_start;
}

void SlowStart::OnStart(const std::string& id, TimePoint now) {
  const auto found = windows_.find(id);
  if (found == windows_.end() || found->second.calls_per_second <= 0) {
    return;
  }
  Window& window = found->second;
  const std::chrono::duration<double> gap(1.0 / window.calls_per_second);
  window.next_start = std::max(now, window.next_start) + std::chrono::duration_cast<Duration>(gap);
}

bool SlowStart::AnyWarmingUp(TimePoint now) const {
  return std::any_of(windows_.begin(), windows_.end(),
                     [now](const auto& entry) { return now < entry.second.until; });
}

}  // namespace cloverbank

#include "admission/admission_control.h"

#include <algorithm>

#include "admission/fractional_seconds.h"

namespace cloverbank {
namespace {

/// Shortest time over which a queue's service rate is measured.
constexpr Duration kRateWindow = milliseconds(500);
/// Weight of the previous average in the moving average of the service rate.
constexpr double kRateHistoryWeight = 0.5;

/// @return the position of a priority in the order of service; lower is served first.
int PriorityOrder(proto::Priority priority) {
  return priority == proto::PRIORITY_UNSPECIFIED ? proto::PRIORITY_STANDARD : priority;
}

}  // namespace

std::string_view RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kTenantRate:
      return "tenant_rate_exceeded";
    case Refusal::kRouteLimit:
      return "route_limit_reached";
    case Refusal::kQueueFull:
      return "queue_full";
    case Refusal::kQueueTooSlow:
      return "queue_too_slow";
    case Refusal::kDisplaced:
      return "displaced";
    case Refusal::kWaitExpired:
      return "wait_expired";
  }
  return "queue_full";
}

std::optional<RefusalNotice> AdmissionControl::Admit(const proto::Route& route,
                                                     const proto::Tenant* tenant, TimePoint now) {
  std::uint32_t& in_flight = in_flight_[route.name()];
  if (route.max_in_flight() != 0 && in_flight >= route.max_in_flight()) {
    return RefusalNotice{Refusal::kRouteLimit, RetryAfter(route.backend())};
  }
  if (tenant != nullptr && tenant->calls_per_second() != 0) {
    TokenBucket& bucket = buckets_[tenant->name()];
    const Duration wait = bucket.Acquire(tenant->calls_per_second(), options_.burst, now);
    if (wait > Duration::zero()) {
      return RefusalNotice{Refusal::kTenantRate, std::max(wait, options_.minimum_retry_after)};
    }
  }
  ++in_flight;
  return std::nullopt;
}

void AdmissionControl::Finish(const std::string& route_name) {
  const auto found = in_flight_.find(route_name);
  if (found == in_flight_.end()) {
    return;
  }
  if (--found->second == 0) {
    in_flight_.erase(found);
  }
}

std::optional<RefusalNotice> AdmissionControl::Enqueue(const WaitingCall& call, TimePoint now,
                                                       std::vector<WaitId>* displaced) {
  Queue& queue = queues_[call.backend];
  WaitingCall bounded = call;
  bounded.wait_deadline = std::min(call.wait_deadline, now + options_.longest_wait);
  const Rank rank = MakeRank(bounded);
  const std::optional<Duration> wait = ExpectedWait(queue, rank);
  if (wait && now + *wait >= bounded.wait_deadline) {
    return RefusalNotice{Refusal::kQueueTooSlow, RetryAfter(call.backend)};
  }
  if (!DisplaceLowerPriority(queue, rank, call.bytes, displaced)) {
    return RefusalNotice{Refusal::kQueueFull, RetryAfter(call.backend)};
  }
  if (queue.ranks.empty()) {
    queue.served_per_second = 0;
    queue.served_in_window = 0;
    queue.window_start = now;
  }
  queue.ranks.insert(rank);
  expiries_.insert({bounded.wait_deadline, bounded.id});
  waiting_.emplace(bounded.id, bounded);
  waiting_bytes_ += bounded.bytes;
  return std::nullopt;
}

bool AdmissionControl::HasCapacity(const Queue& queue, std::size_t bytes) const {
  return queue.ranks.size() < options_.queue_length &&
         waiting_.size() < options_.total_queue_length &&
         waiting_bytes_ + bytes <= options_.queue_bytes;
}

bool AdmissionControl::DisplaceLowerPriority(Queue& queue, const Rank& rank, std::size_t bytes,
                                             std::vector<WaitId>* displaced) {
  if (HasCapacity(queue, bytes)) {
    return true;
  }
  if (queue.ranks.empty()) {
    return false;  // Calls for other backends fill the total; they are not displaced.
  }
  const Rank last = *queue.ranks.rbegin();
  // A call displaces only calls of lower priority. If an earlier deadline sufficed, many arrivals
  // of one priority would constantly displace each other.
  if (last.priority_order <= rank.priority_order) {
    return false;
  }
  const WaitId id = last.id;
  Remove(id);
  displaced->push_back(id);
  return HasCapacity(queue, bytes);
}

std::vector<WaitId> AdmissionControl::FirstWaiting(const std::string& backend,
                                                   std::size_t count) const {
  std::vector<WaitId> first;
  const auto found = queues_.find(backend);
  if (found == queues_.end()) {
    return first;
  }
  for (const Rank& rank : found->second.ranks) {
    if (first.size() == count) {
      break;
    }
    first.push_back(rank.id);
  }
  return first;
}

bool AdmissionControl::Remove(WaitId id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return false;
  }
  const WaitingCall& call = found->second;
  queues_[call.backend].ranks.erase(MakeRank(call));
  expiries_.erase({call.wait_deadline, id});
  waiting_bytes_ -= call.bytes;
  waiting_.erase(found);
  return true;
}

std::vector<WaitId> AdmissionControl::TakeExpired(TimePoint now) {
  std::vector<WaitId> expired;
  while (!expiries_.empty() && expiries_.begin()->at <= now) {
    const WaitId id = expiries_.begin()->id;
    Remove(id);
    expired.push_back(id);
  }
  return expired;
}

std::optional<TimePoint> AdmissionControl::NextExpiry() const {
  if (expiries_.empty()) {
    return std::nullopt;
  }
  return expiries_.begin()->at;
}

bool AdmissionControl::Serve(WaitId id, TimePoint now) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return false;
  }
  Queue& queue = queues_[found->second.backend];
  ++queue.served_in_window;
  const Duration elapsed = now - queue.window_start;
  if (elapsed >= kRateWindow) {
    const double measured_rate = static_cast<double>(queue.served_in_window) / ToSeconds(elapsed);
    const bool has_rate = queue.served_per_second > 0;
    queue.served_per_second = has_rate ? queue.served_per_second * kRateHistoryWeight +
                                             measured_rate * (1 - kRateHistoryWeight)
                                       : measured_rate;
    queue.served_in_window = 0;
    queue.window_start = now;
  }
  return Remove(id);
}

std::size_t AdmissionControl::Waiting(const std::string& backend) const {
  const auto found = queues_.find(backend);
  return found == queues_.end() ? 0 : found->second.ranks.size();
}

std::vector<std::string> AdmissionControl::BackendsWithWaiting() const {
  std::vector<std::string> backends;
  for (const auto& [backend, queue] : queues_) {
    if (!queue.ranks.empty()) {
      backends.push_back(backend);
    }
  }
  return backends;
}

Duration AdmissionControl::RetryAfter(const std::string& backend) const {
  const auto found = queues_.find(backend);
  if (found == queues_.end() || found->second.served_per_second <= 0) {
    return options_.longest_wait;
  }
  const double length = static_cast<double>(found->second.ranks.size());
  const Duration drain_time = FromSeconds(length / found->second.served_per_second);
  return std::clamp(drain_time, options_.minimum_retry_after, options_.maximum_retry_after);
}

void AdmissionControl::RemoveIdle(const proto::RoutingConfiguration& configuration, TimePoint now) {
  std::unordered_map<std::string_view, std::uint32_t> rates;
  for (const proto::Tenant& tenant : configuration.tenants()) {
    rates.emplace(tenant.name(), tenant.calls_per_second());
  }
  std::erase_if(buckets_, [&](const auto& entry) {
    const auto rate = rates.find(entry.first);
    const bool limited = rate != rates.end() && rate->second != 0;
    return !limited || entry.second.IsFull(rate->second, options_.burst, now);
  });
  std::erase_if(queues_, [&](const auto& entry) { return entry.second.ranks.empty(); });
}

AdmissionControl::Rank AdmissionControl::MakeRank(const WaitingCall& call) {
  return {PriorityOrder(call.priority), call.wait_deadline, call.id};
}

std::optional<Duration> AdmissionControl::ExpectedWait(const Queue& queue, const Rank& rank) const {
  if (queue.served_per_second <= 0 || queue.ranks.empty()) {
    return std::nullopt;
  }
  const auto ahead = std::distance(queue.ranks.begin(), queue.ranks.lower_bound(rank));
  return FromSeconds(static_cast<double>(ahead) / queue.served_per_second);
}

}  // namespace cloverbank

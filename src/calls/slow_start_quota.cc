#include "calls/slow_start_quota.h"

#include <limits>

#include "routes/route_match.h"

namespace cloverbank {
namespace {

/// Longer than a gateway takes to learn that its part of a rate now belongs to another gateway.
constexpr Duration kTakeOverDelay = milliseconds(1500);
constexpr double kUnbounded = std::numeric_limits<double>::infinity();

}  // namespace

bool SlowStartQuota::SetQuota(const GatewayQuota& quota, TimePoint now) {
  if (quota == quota_) {
    return false;
  }
  quota_ = quota;
  UpdateRates(kTakeOverDelay, now);
  return true;
}

void SlowStartQuota::OnList(TimePoint now) {
  for (const auto& [id, record] : directory_.records()) {
    if (record.slow_start_remaining > Duration::zero()) {
      slow_start_.SetWarmingUp(id, RateFor(record), now + record.slow_start_remaining, now);
    }
  }
}

void SlowStartQuota::UpdateRates(Duration delay, TimePoint now) {
  slow_start_.ChangeRates(
      [this](const std::string& id) {
        const ReplicaRecord* record = directory_.Find(id);
        return record == nullptr ? 0 : RateFor(*record);
      },
      delay, now);
}

double SlowStartQuota::RateFor(const ReplicaRecord& record) const {
  const proto::Backend* backend = FindBackend(permission_.configuration(), record.backend);
  if (backend == nullptr) {
    return 0;
  }
  const double bound = backend->cold_calls_per_second();
  return bound > 0 ? quota_.RateFor(record.id, record.zone, bound) : kUnbounded;
}

}  // namespace cloverbank

#include "token_quota/drain_rate.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// The rate becomes unknown if two counts are further apart than this, since they then say nothing
/// about the current rate.
constexpr Duration kMaxInterval = seconds(1);
/// Weight of the latest measurement in the moving average.
constexpr double kSmoothingFactor = 0.3;

}  // namespace

std::uint64_t DrainRate::Update(std::uint64_t open, std::uint64_t granted, TimePoint now) {
  const Duration interval = now - counted_at_;
  const std::uint64_t before = open_.value_or(0) + granted;
  const std::uint64_t finished = open_ ? before - std::min(before, open) : 0;
  if (open_ && interval > kMaxInterval) {
    tokens_per_second_ = 0;
  } else if (open_ && interval > Duration::zero()) {
    const double measured =
        static_cast<double>(finished) / std::chrono::duration<double>(interval).count();
    const double weight = tokens_per_second_ > 0 ? kSmoothingFactor : 1;
    tokens_per_second_ += weight * (measured - tokens_per_second_);
  }
  open_ = open;
  counted_at_ = now;
  return finished;
}

std::optional<Duration> DrainRate::EstimateTime(std::uint64_t tokens) const {
  if (tokens_per_second_ <= 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> time(static_cast<double>(tokens) / tokens_per_second_);
  return std::chrono::duration_cast<Duration>(time);
}

}  // namespace cloverbank

#include "admission/token_bucket.h"

#include <algorithm>

#include "admission/fractional_seconds.h"

namespace cloverbank {

double TokenBucket::Level(double per_second, double capacity, TimePoint now) const {
  if (tokens_ < 0) {
    return capacity;
  }
  return std::min(capacity, tokens_ + ToSeconds(now - updated_) * per_second);
}

Duration TokenBucket::Acquire(double per_second, Duration burst, TimePoint now) {
  const double capacity = std::max(1.0, per_second * ToSeconds(burst));
  tokens_ = Level(per_second, capacity, now);
  updated_ = now;
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return Duration::zero();
  }
  return FromSeconds((1 - tokens_) / per_second) + Duration(1);
}

bool TokenBucket::IsFull(double per_second, Duration burst, TimePoint now) const {
  const double capacity = std::max(1.0, per_second * ToSeconds(burst));
  return Level(per_second, capacity, now) >= capacity;
}

}  // namespace cloverbank

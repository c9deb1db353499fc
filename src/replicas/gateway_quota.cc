#include "replicas/gateway_quota.h"

#include <algorithm>
#include <cmath>

#include "base/checksum.h"

namespace cloverbank {
namespace {

/// Calls per second. A gateway that spaces its starts evenly at 2 calls per second or more starts
/// at most 1.5 times its rate in any second.
constexpr double kMinimumRate = 2;

}  // namespace

std::uint32_t GatewayQuota::TurnFor(std::string_view replica_id) const {
  // The first selected gateway is at a fixed fraction of the ring of gateways, not at a fixed
  // index, so that few selections change when a gateway joins or leaves.
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64.
  const double fraction = static_cast<double>(Checksum(replica_id)) / kHashRange;
  const auto first = static_cast<std::uint32_t>(fraction * count);
  return (index + count - std::min(first, count - 1)) % count;
}

bool GatewayQuota::IsSelected(std::string_view replica_id, std::uint32_t selected_count) const {
  return TurnFor(replica_id) < selected_count;
}

std::uint32_t GatewayQuota::SlotsFor(std::string_view replica_id, std::string_view replica_zone,
                                     std::uint32_t slots) const {
  if (replica_zone != zone) {
    return 0;
  }
  return slots / count + (IsSelected(replica_id, slots % count) ? 1 : 0);
}

double GatewayQuota::RateFor(std::string_view replica_id, std::string_view replica_zone,
                             double per_second) const {
  if (replica_zone != zone) {
    return 0;
  }
  const auto maximum_selected =
      static_cast<std::uint32_t>(std::max(1.0, std::floor(per_second / kMinimumRate)));
  const std::uint32_t selected_count = std::min(count, maximum_selected);
  return IsSelected(replica_id, selected_count) ? per_second / selected_count : 0;
}

}  // namespace cloverbank

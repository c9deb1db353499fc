#include "replicas/gateway_quota.h"

#include <algorithm>
#include <cmath>

#include "base/checksum.h"

namespace cloverbank {
namespace {

/// Calls per second. A gateway that spaces its starts evenly at 2 calls per second or more starts
/// at most 1.5 times its rate in any second.
constexpr double kMinimumRate = 2;

/// @return the turn at the replica, below `rank.count`, of the gateway with this rank.
std::uint32_t TurnAt(const ZoneRank& rank, std::string_view replica_id) {
  // The first selected gateway is at a fixed fraction of the ring of gateways, not at a fixed
  // index, so that few selections change when a gateway joins or leaves.
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64.
  const double fraction = static_cast<double>(Checksum(replica_id)) / kHashRange;
  const auto first = static_cast<std::uint32_t>(fraction * rank.count);
  return (rank.index + rank.count - std::min(first, rank.count - 1)) % rank.count;
}

}  // namespace

std::optional<ZoneRank> GatewayQuota::RankAt(std::string_view replica_zone) const {
  if (replica_zone == zone) {
    return rank;
  }
  const auto served = zones_without_gateway.find(std::string(replica_zone));
  return served == zones_without_gateway.end() ? std::nullopt : std::optional(served->second);
}

std::uint32_t GatewayQuota::TurnFor(std::string_view replica_id,
                                    std::string_view replica_zone) const {
  return TurnAt(RankAt(replica_zone).value_or(rank), replica_id);
}

std::uint32_t GatewayQuota::SlotsFor(std::string_view replica_id, std::string_view replica_zone,
                                     std::uint32_t slots) const {
  const std::optional<ZoneRank> served = RankAt(replica_zone);
  if (!served) {
    return 0;
  }
  const bool gets_one_more = TurnAt(*served, replica_id) < slots % served->count;
  return slots / served->count + (gets_one_more ? 1 : 0);
}

double GatewayQuota::RateFor(std::string_view replica_id, std::string_view replica_zone,
                             double per_second) const {
  if (replica_zone != zone) {
    return 0;
  }
  const auto maximum_selected =
      static_cast<std::uint32_t>(std::max(1.0, std::floor(per_second / kMinimumRate)));
  const std::uint32_t selected_count = std::min(rank.count, maximum_selected);
  return TurnAt(rank, replica_id) < selected_count ? per_second / selected_count : 0;
}

}  // namespace cloverbank

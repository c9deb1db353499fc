#pragma once
/// @file
/// Which partition a batch belongs to. Every node works it out alike from the count of partitions.

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace cloverbank {

/// Detail of the kConflict that a request for a partition of another owner gets.
inline constexpr std::string_view kNotOwnerDetail = "not_owner";
/// Detail of the kConflict that a batch gets while the keeper of its route's limit can not be
/// asked: nothing was taken, and it may be submitted again at once.
inline constexpr std::string_view kQuotaOwnerUnavailableDetail = "keeper_away";

/// @return the partition that all batches of `tenant` belong to whose ids the system chooses, and
/// that keeps the limits of the tenant's routes. Requires `partition_count` > 0.
PartitionId PartitionOfTenant(std::string_view tenant, std::uint32_t partition_count);

/// @return the partition of a batch whose id its client chose: those of one tenant are spread over
/// all partitions. Requires `partition_count` > 0.
PartitionId PartitionOfNamedBatch(std::string_view tenant, std::string_view batch_id,
                                  std::uint32_t partition_count);

}  // namespace cloverbank

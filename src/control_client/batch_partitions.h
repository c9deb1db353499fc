#pragma once
/// @file
/// Maps batches to partitions. Every node computes the same from the count of partitions.

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace cloverbank {

/// Detail of kConflict: the partition has another owner.
inline constexpr std::string_view kNotOwnerDetail = "not_owner";
/// Detail of kConflict: the owner of the route's token quota is unavailable. The batch was not
/// accepted and may be resubmitted at once.
inline constexpr std::string_view kQuotaOwnerUnavailableDetail = "keeper_away";

/// @return the partition of all batches of `tenant` whose ids the system chooses, which also owns
/// the token quotas of the tenant's routes. Requires `partition_count` > 0.
PartitionId PartitionForTenant(std::string_view tenant, std::uint32_t partition_count);

/// @return the partition of a batch whose id its client chose: those of one tenant are spread over
/// all partitions. Requires `partition_count` > 0.
PartitionId PartitionForNamedBatch(std::string_view tenant, std::string_view batch_id,
                                   std::uint32_t partition_count);

}  // namespace cloverbank

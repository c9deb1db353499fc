#pragma once
/// @file
/// Maps batches to partitions. The mapping depends only on the arguments and the number of
/// partitions, so every node computes the same one.

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace cloverbank {

/// Status detail of a kConflict refusal by a node that is not the owner of the partition.
inline constexpr std::string_view kNotOwnerDetail = "not_owner";
/// Status detail of a kConflict refusal because the owner of the route's token quota is
/// unavailable. The batch was not accepted and may be resubmitted immediately.
inline constexpr std::string_view kQuotaOwnerUnavailableDetail = "keeper_away";

/// @return the partition that holds every batch of `tenant` whose id the system generates. The same
/// partition owns the token quotas of the tenant's routes.
/// @param partition_count must be greater than 0.
PartitionId PartitionForTenant(std::string_view tenant, std::uint32_t partition_count);

/// @return the partition of a batch whose id the client chose. The hash includes the batch id, so
/// such batches of one tenant are spread over all partitions.
/// @param partition_count must be greater than 0.
PartitionId PartitionForNamedBatch(std::string_view tenant, std::string_view batch_id,
                                   std::uint32_t partition_count);

}  // namespace cloverbank

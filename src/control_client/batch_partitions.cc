#include "control_client/batch_partitions.h"

#include "base/checksum.h"

namespace cloverbank {

PartitionId PartitionForTenant(std::string_view tenant, std::uint32_t partition_count) {
  return PartitionId(Checksum(tenant) % partition_count);
}

PartitionId PartitionForNamedBatch(std::string_view tenant, std::string_view batch_id,
                                   std::uint32_t partition_count) {
  return PartitionId(Checksum(batch_id, Checksum(tenant)) % partition_count);
}

}  // namespace cloverbank

#include "token_quota/token_usage.h"

#include <algorithm>

namespace cloverbank {

bool TokenUsage::UpdateOwner(PartitionUsage& usage, NodeId owner) {
  if (usage.former_owners.contains(owner)) {
    return false;
  }
  if (usage.owner.valid() && usage.owner != owner) {
    usage.former_owners.insert(usage.owner);
  }
  usage.owner = owner;
  return true;
}

bool TokenUsage::Count::Includes(const Grant& grant) const {
  // The present owner recovered the partition with all that earlier owners logged, so its count
  // includes the grants to them.
  return grant.owner != owner ||
         (grant.sequence < completed_below && !pending.contains(grant.sequence));
}

void TokenUsage::AddGrant(const Grant& grant) {
  UpdateOwner(partitions_[grant.partition], grant.owner);
  grants_.push_back(grant);
}

void TokenUsage::ApplyCount(const Count& count) {
  PartitionUsage& usage = partitions_[count.partition];
  if (!UpdateOwner(usage, count.owner)) {
    return;
  }
  usage.counted = count.tokens;
  std::erase_if(grants_, [&count](const Grant& grant) {
    return grant.partition == count.partition && count.Includes(grant);
  });
}

bool TokenUsage::IsComplete(std::uint32_t partition_count) const {
  const auto counted = std::count_if(partitions_.begin(), partitions_.end(), [](const auto& entry) {
    return entry.second.counted.has_value();
  });
  return counted >= static_cast<std::ptrdiff_t>(partition_count);
}

std::uint64_t TokenUsage::UpperBound() const {
  std::uint64_t sum = 0;
  for (const auto& [partition, usage] : partitions_) {
    sum += usage.counted.value_or(0);
  }
  for (const Grant& grant : grants_) {
    sum += grant.tokens;
  }
  return sum;
}

}  // namespace cloverbank

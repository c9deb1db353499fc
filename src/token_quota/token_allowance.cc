#include "token_quota/token_allowance.h"

#include <algorithm>

namespace cloverbank {

void TokenAllowance::RecordGrant(std::uint64_t tokens) {
  if (granted_) {
    *granted_ += tokens;
  }
}

std::uint64_t TokenAllowance::Remaining(std::uint64_t open) const {
  const std::uint64_t granted = granted_.value_or(0);
  return granted - std::min(granted, open);
}

void TokenAllowances::Drop(PartitionId partition) {
  std::erase_if(allowances_,
                [partition](const auto& entry) { return entry.first.partition == partition; });
}

}  // namespace cloverbank

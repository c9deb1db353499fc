#include "token_quota/token_allowance.h"

#include <algorithm>

namespace cloverbank {

void TokenAllowance::RecordGrant(std::uint64_t tokens) {
  if (allowed_) {
    *allowed_ += tokens;
  }
}

std::uint64_t TokenAllowance::Spare(std::uint64_t open) const {
  const std::uint64_t allowed = allowed_.value_or(0);
  return allowed - std::min(allowed, open);
}

void TokenAllowances::Drop(PartitionId partition) {
  std::erase_if(allowances_,
                [partition](const auto& entry) { return entry.first.partition == partition; });
}

}  // namespace cloverbank
